/// \file messagereader.cpp
/// Checks of raw heads that Beast's parser does not make.
#include "messagereader.h"

namespace wigeonsill {

bool isAmbiguousHead(std::string_view head)
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char byte = head[i];
        if (byte == '\0') {
            return true;
        }
        if (byte != '\n') {
            continue;
        }
        if (i == 0 || head[i - 1] != '\r') {
            return true;
        }
        const bool folded = i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
        if (folded) {
            return true;
        }
    }
    return false;
}

} // namespace wigeonsill
