// Merging of member records.

#include "arbutus/membership/member.h"

#include <tuple>

namespace arbutus::membership {

bool merge(Member &known, const Member &update)
{
    if (update.incarnation < known.incarnation) {
        return false;
    }
    if (update.incarnation > known.incarnation) {
        known = update;
        return true;
    }
    const Member before = known;
    known.leaving = known.leaving || update.leaving;
    if (std::tie(update.refutation, update.condition) > std::tie(known.refutation, known.condition)) {
        known.refutation = update.refutation;
        known.condition = update.condition;
    }
    return known != before;
}

} // namespace arbutus::membership
