// The merge rule.

#include "arbutus/membership/member.h"

#include <tuple>

namespace arbutus::membership {

bool merge(Member &known, const Member &heard)
{
    if (heard.incarnation < known.incarnation) {
        return false;
    }
    if (heard.incarnation > known.incarnation) {
        known = heard;
        return true;
    }
    const Member before = known;
    known.leaving = known.leaving || heard.leaving;
    if (std::tie(heard.refutation, heard.condition) > std::tie(known.refutation, known.condition)) {
        known.refutation = heard.refutation;
        known.condition = heard.condition;
    }
    return known != before;
}

} // namespace arbutus::membership
