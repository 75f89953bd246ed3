/// \file fuzztarget.h
/// What each fuzz target defines: one parser of bytes that come from outside.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonsill {

/// Valid inputs, from which others are made.
std::vector<std::string> fuzzSeeds();

/// Ends the process with a message unless the condition is true.
void fuzzRequire(bool condition, std::string_view message);

/// The input of LLVMFuzzerTestOneInput() as text.
inline std::string_view fuzzText(const std::uint8_t *data, std::size_t size)
{
    return { reinterpret_cast<const char *>(data), size };
}

} // namespace wigeonsill

/// Parses one input. The name is that of libFuzzer, with which the same target can be linked.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);
