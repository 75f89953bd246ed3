/// \file misdirected_test.cpp
/// Tests of what an answer that turns a request down as misdirected says about its target.
#include "entryfixture.h"

namespace wigeonsill {
namespace {

class MisdirectedRequest : public SentRequest
{
protected:
    explicit MisdirectedRequest(const std::string &callerFields = {})
        : SentRequest({ .callerFields = callerFields })
    {
    }
    /// Whether the first target is usable after it has turned the request down.
    bool isUsableAfter(const std::string &answerFields)
    {
        this->write("HTTP/1.1 421 Misdirected\r\n" + answerFields + "Content-Length: 0\r\n\r\n");
        const std::string id = toString(this->firstAgent->target.local_endpoint());
        const boost::json::object state = this->entry->dumpState();
        for (const auto &target : state.at("targets").as_array()) {
            if (target.at("id") == boost::json::string_view(id.data(), id.size())) {
                return target.at("usable").as_bool();
            }
        }
        ADD_FAILURE() << "the target is not listed";
        return false;
    }
};

class RequestWithCondition : public MisdirectedRequest
{
protected:
    RequestWithCondition()
        : MisdirectedRequest("Test-Condition: 2\r\n")
    {
    }
};

TEST_F(MisdirectedRequest, showsThatTheTargetWasReplaced)
{
    EXPECT_FALSE(this->isUsableAfter(""));
}

TEST_F(MisdirectedRequest, namesTheTargetThatAnswers)
{
    EXPECT_FALSE(this->isUsableAfter("Test-Target-Id: another\r\n"));
}

/// Two targets that each answered one request with 421 and their own id were never used again.
TEST_F(MisdirectedRequest, turnedDownByTheTargetItselfSaysNothing)
{
    const std::string id = toString(this->firstAgent->target.local_endpoint());
    EXPECT_TRUE(this->isUsableAfter("Test-Target-Id: " + id + "\r\n"));
}

/// One request with a condition that no target meets took all targets out of use.
TEST_F(RequestWithCondition, turnedDownSaysNothingAboutTheTarget)
{
    EXPECT_TRUE(this->isUsableAfter(""));
    EXPECT_TRUE(this->received().empty() || this->received().starts_with("HTTP/1.1 503"));
}

} // namespace
} // namespace wigeonsill
