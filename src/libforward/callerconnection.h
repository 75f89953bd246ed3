/// \file callerconnection.h
/// One connection of a caller: reads requests one after another, writes their answers.
#pragma once

#include "entrystate.h"

namespace wigeonsill {

/// Ends by itself; kept alive by its pending reads, writes and timers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /// \pre shared is owned by a shared pointer.
    CallerConnection(EntryState &entryState, boost::asio::ip::tcp::socket accepted);
    ~CallerConnection();
    void start();

    /// Sends a whole answer of the entry's own or of a target. \pre no answer was begun.
    void respond(
        int status, std::string_view reason, const HttpFields &fields, std::string_view body);
    /// Begins an answer whose length is not known. \pre no answer was begun.
    void beginAnswer(int status, std::string_view reason, const HttpFields &fields);
    void writeBody(std::string_view bytes);
    void endAnswer();
    /// Closes at once, so that an unfinished answer cannot be taken as whole.
    void abort();
    /// Closes when nothing is in progress.
    void closeIfIdle();

private:
    enum class Phase : std::uint8_t { Idle, Head, Body, Answering, Closing };

    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void parse();
    bool parseHead();
    void onRequestComplete();
    void rejectParseError(const boost::system::error_code &error);
    void rejectAndClose(ResultCode code, std::string_view detail);
    void startTimer(Duration time);
    void onTimeout();
    void enqueue(std::string_view bytes);
    void flush();
    void onAnswerComplete();
    std::string formatHead(int status, std::string_view reason, const HttpFields &fields) const;
    void closeGracefully();
    void close();

    std::shared_ptr<EntryState> stateOwner;
    EntryState &state;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 8'192> readBuffer;
    std::string receiveBuffer;
    std::unique_ptr<RequestReader> reader;
    std::shared_ptr<RequestFlow> flow;
    std::string sendBuffer;
    std::string writeBuffer;
    Phase phase = Phase::Idle;
    bool readPending = false;
    bool writePending = false;
    bool keepAlive = true;
    bool chunkedAnswer = false;
    bool isHeadRequest = false;
    bool answerComplete = false;
    std::uint64_t timerGeneration = 0; ///< Number of the newest timer wait.
};

} // namespace wigeonsill
