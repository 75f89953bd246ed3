/// \file fuzzrequire.cpp
/// Checks of fuzz targets.
#include "fuzztarget.h"

#include <cstdio>
#include <cstdlib>

namespace wigeonsill {

void fuzzRequire(bool condition, std::string_view message)
{
    if (!condition) {
        std::fprintf(stderr, "%.*s\n", static_cast<int>(message.size()), message.data());
        std::abort();
    }
}

} // namespace wigeonsill
