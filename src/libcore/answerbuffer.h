/// \file answerbuffer.h
/// The part of an answer that the entry may still ask for.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Bytes of one answer from the acknowledged offset on. Not thread-safe.
class AnswerBuffer
{
public:
    void append(std::string_view bytes) { this->held.append(bytes); }

    /// Drops what lies below the offset. Offsets beyond the end are taken as the end.
    void acknowledge(std::uint64_t offset)
    {
        if (offset <= this->start) {
            return;
        }
        const std::uint64_t dropped
            = std::min<std::uint64_t>(offset - this->start, this->held.size());
        this->held.erase(0, dropped);
        this->start += dropped;
    }

    /// Bytes from an offset on, at most limit. Empty below begin() and beyond end().
    std::string_view read(std::uint64_t offset, std::uint64_t limit) const
    {
        if (offset < this->start || offset >= this->end()) {
            return {};
        }
        return std::string_view(this->held).substr(offset - this->start, limit);
    }

    std::uint64_t begin() const { return this->start; }
    std::uint64_t end() const { return this->start + this->held.size(); }
    std::uint64_t size() const { return this->held.size(); }

private:
    std::string held;
    std::uint64_t start = 0;
};

} // namespace wigeonsill
