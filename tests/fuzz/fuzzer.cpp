// Main of a libFuzzer program; ARBUTUS_FUZZ_TARGET names the entry function.

#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

#ifndef ARBUTUS_FUZZ_TARGET
#define ARBUTUS_FUZZ_TARGET announcement // so that the linter can read this file without the definition of a build
#endif

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): named by libFuzzer
{
    arbutus::fuzz::ARBUTUS_FUZZ_TARGET(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
