/// \file bodydoubt.cpp
/// What happens to complete bodies that may have been cut.
#include "wigeonsill/outcomes.h"

namespace wigeonsill {

DoubtStep chooseDoubtStep(BodyDoubt doubt, const DoubtOptions &options)
{
    const bool isOfStream = options.isStream && doubt != BodyDoubt::EndsWithAnswers;
    if (options.isConfirmed || isOfStream) {
        return DoubtStep::PassOn;
    }
    if (options.isRepeatable || options.wasRepeated) {
        return DoubtStep::Discard;
    }
    switch (doubt) {
    case BodyDoubt::Quoting:
        return DoubtStep::AwaitRest;
    case BodyDoubt::EndsWithAnswers:
        return DoubtStep::Discard;
    case BodyDoubt::Followed:
        // Targets in trouble send further bytes behind whole answers. A request that can't be
        // repeated has run, and its caller would not learn of that.
        return DoubtStep::PassOn;
    }
    return DoubtStep::Discard;
}

} // namespace wigeonsill
