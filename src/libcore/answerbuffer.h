/// \file answerbuffer.h
/// Buffer for the part of an answer that the entry has not acknowledged.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonsill {

/// Bytes of one answer, starting at the acknowledged offset. Not thread-safe.
class AnswerBuffer
{
public:
    void append(std::string_view bytes) { this->buffer.append(bytes); }

    /// Drops the bytes before the offset. An offset beyond the end counts as the end.
    void acknowledge(std::uint64_t offset)
    {
        if (offset <= this->startOffset) {
            return;
        }
        const std::uint64_t dropped
            = std::min<std::uint64_t>(offset - this->startOffset, this->buffer.size());
        this->buffer.erase(0, dropped);
        this->startOffset += dropped;
    }

    /// Returns at most limit bytes starting at the offset; empty when the offset is outside
    /// [begin(), end()).
    std::string_view read(std::uint64_t offset, std::uint64_t limit) const
    {
        if (offset < this->startOffset || offset >= this->end()) {
            return {};
        }
        return std::string_view(this->buffer).substr(offset - this->startOffset, limit);
    }

    /// Offset of the first buffered byte.
    std::uint64_t begin() const { return this->startOffset; }
    /// Offset after the last byte received.
    std::uint64_t end() const { return this->startOffset + this->buffer.size(); }
    /// Number of buffered bytes.
    std::uint64_t size() const { return this->buffer.size(); }

private:
    std::string buffer;
    std::uint64_t startOffset = 0;
};

} // namespace wigeonsill
