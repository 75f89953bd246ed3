/// \file identifiers.cpp
/// Generates and prints identifiers, and computes the stable hash.
#include "wigeonsill/util.h"

#include <boost/uuid/random_generator.hpp>
#include <cstdio>
#include <cstring>
#include <xxhash.h>

namespace wigeonsill {

Incarnation generateIncarnation()
{
    const boost::uuids::uuid uuid = boost::uuids::random_generator()();
    Incarnation incarnation;
    std::memcpy(&incarnation.high, uuid.data, sizeof(incarnation.high));
    std::memcpy(&incarnation.low, uuid.data + sizeof(incarnation.high), sizeof(incarnation.low));
    return incarnation;
}

std::string toString(const Incarnation &incarnation)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
        static_cast<unsigned long long>(incarnation.high),
        static_cast<unsigned long long>(incarnation.low));
    return text.data();
}

std::string toString(const RequestId &id)
{
    return toString(id.entry) + "-" + std::to_string(id.sequence);
}

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace wigeonsill
