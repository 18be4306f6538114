// Cost of admission decisions, and goodput under overload in the discrete-event model that the admission tests use.
#include "admission/admission.h"
#include "admission/queuedadmission.h"
#include "admission/tests/overloadmodel.h"
#include "foundation/systemclock.h"
#include "requests/keystore.h"
#include "requests/requesttracker.h"

#include <benchmark/benchmark.h>

using namespace clementinesill;
using namespace clementinesill::admission;

namespace {

constexpr std::int64_t modelRuns = 5;

void admitAndFinish(benchmark::State& state)
{
    const SystemClock clock;
    Admission admission({ .warmupOff = state.range(0) == 0 }, clock);
    for (auto _ : state) {
        benchmark::DoNotOptimize(admission.admitRequest());
        admission.finishRequest({ .outcome = RequestOutcome::Completed, .latency = std::chrono::milliseconds(5) });
    }
}
BENCHMARK(admitAndFinish)->ArgName("warmup")->Arg(0)->Arg(1);

void refuse(benchmark::State& state)
{
    const SystemClock clock;
    Admission admission({ .slots = 1 }, clock);
    admission.admitRequest();
    for (auto _ : state)
        benchmark::DoNotOptimize(admission.admitRequest());
}
BENCHMARK(refuse);

void queueAndFinish(benchmark::State& state)
{
    const SystemClock clock;
    Admission admission({ .slots = 1 }, clock);
    QueuedAdmission queued(admission, {}, clock);
    const QueueTraits traits { .targetTime = MonotonicTime::max(), .latestStart = MonotonicTime::max() };
    queued.submit(traits);
    for (auto _ : state) {
        queued.submit(traits);
        benchmark::DoNotOptimize(queued.finish({}));
    }
}
BENCHMARK(queueAndFinish);

void ledgerExchange(benchmark::State& state)
{
    requests::RequestTracker ledger;
    for (auto _ : state) {
        const auto request = ledger.begin();
        ledger.bind(request, 1);
        ledger.markSent(request);
        benchmark::DoNotOptimize(ledger.checkResponse(1, request));
        ledger.markForwarding(request);
        ledger.complete(request);
        ledger.end(request);
    }
}
BENCHMARK(ledgerExchange);

void keyBeginAndAnswer(benchmark::State& state)
{
    const SystemClock clock;
    requests::KeyStore store({ .maxKeys = 1U << 30U }, clock);
    std::uint64_t number = 0;
    for (auto _ : state) {
        const auto key = std::to_string(++number);
        store.begin(key, number);
        store.markCompleted(key, {}, requests::StoredResponse { .status = 201 });
    }
}
BENCHMARK(keyBeginAndAnswer)->Iterations(100000);

// Goodput relative to the capacity of the warm server. Values of policy: 0 for no admission control, 1 for slots and queue,
// 2 for slots, queue and warm-up limit.
void goodput(benchmark::State& state)
{
    const auto load = static_cast<double>(state.range(0));
    const auto policy = state.range(1);
    const auto coldTime = std::chrono::seconds(state.range(2));
    double goodputSum = 0;
    double minimumGoodput = 1e9;
    double collapses = 0;
    double overruns = 0;
    std::uint64_t seed = 0;
    for (auto _ : state) {
        const auto result = OverloadModel({ .load = load, .seed = ++seed, .coldTime = coldTime, .turnsColdAfter = 3 * coldTime, .warmupOff = policy == 1, .admissionOff = policy == 0 }).run();
        goodputSum += result.goodput;
        minimumGoodput = std::min(minimumGoodput, result.goodput);
        collapses += static_cast<double>(result.collapses);
        overruns += static_cast<double>(result.overruns);
    }
    state.counters["goodput"] = goodputSum / modelRuns;
    state.counters["least"] = minimumGoodput;
    state.counters["collapses"] = collapses / modelRuns;
    state.counters["overruns"] = overruns / modelRuns;
}
BENCHMARK(goodput)->ArgNames({ "load", "policy", "cold_s" })->ArgsProduct({ { 1, 2, 3 }, { 0, 1, 2 }, { 0, 10 } })->Iterations(modelRuns)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
