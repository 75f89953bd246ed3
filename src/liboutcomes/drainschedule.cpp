/// \file drainschedule.cpp
/// Decides until when a stopping process accepts connections and requests and ends them.
#include "wigeonsill/outcomes.h"

namespace wigeonsill {

namespace {

/// How long new connections are accepted. The platform checks readiness once a second and needs two
/// failed checks to stop sending connections, and those that it opens until then must be served.
constexpr Duration connectionTime = milliseconds(3'500);
/// How long requests are accepted that may outlast the grace period.
constexpr Duration longRequestTime = milliseconds(2'700);
/// Time before the end of the grace period that is left to write final answers.
constexpr Duration answerMargin = milliseconds(400);
/// Time before the end of the grace period that is left to the exit itself.
constexpr Duration exitMargin = milliseconds(150);

} // namespace

bool DrainSchedule::acceptsConnections(Duration sinceStop) const
{
    return sinceStop <= connectionTime;
}

bool DrainSchedule::admits(Duration sinceStop, Duration timeLimit) const
{
    return sinceStop <= longRequestTime || sinceStop + timeLimit <= this->requestEnd();
}

Duration DrainSchedule::requestEnd() const
{
    return this->grace - answerMargin;
}

Duration DrainSchedule::processEnd() const
{
    return this->grace - exitMargin;
}

} // namespace wigeonsill
