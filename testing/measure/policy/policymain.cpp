#include "scheduling/internal/policyfactory.h"
#include "testing/measure/policy/policyrun.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using laburnummill::configuration::PolicySettings;
using laburnummill::testing::PolicyFigures;
using laburnummill::testing::ProgramPlan;
using laburnummill::testing::Shape;
using Json = nlohmann::json;

constexpr auto s_seedsWithin = std::uint64_t{10};

/// The product's figures against the better baseline, over seeds.
class Ratios
{
public:
    auto add(const std::string& name, double product, double one, double other) -> void
    {
        const auto better = std::min(one, other);
        m_values[name].push_back(better > 0 ? product / better : 1);
    }

    auto addPlain(const std::string& name, double value) -> void { m_values[name].push_back(value); }

    auto toJson() const -> Json
    {
        auto document = Json::object();
        for (const auto& [name, values] : m_values) {
            auto sum = 0.0;
            std::ranges::for_each(values, [&sum](double value) { sum += value; });
            const auto [least, most] = std::ranges::minmax(values);
            document[name] = sum / static_cast<double>(values.size());
            document[name + "_spread"] = {least, most};
        }
        return document;
    }

private:
    std::map<std::string, std::vector<double>> m_values;
};

auto runOne(const Shape& shape, const std::vector<ProgramPlan>& plans, const PolicySettings& settings, std::uint64_t seed) -> PolicyFigures
{
    return laburnummill::testing::PolicyRun(shape, plans, laburnummill::scheduling::makePolicy(settings), seed).run();
}

auto print(const std::string& name, const PolicyFigures& figures) -> void
{
    std::cout << "  " << name << ": p50 " << figures.latencyP50 << " ms, p95 " << figures.latencyP95 << " ms, worst account "
              << figures.worstAccountP95 << " ms, recomputed " << figures.recomputedTokens << " tokens, slowdown p95 "
              << figures.slowdownP95 << ", busy " << figures.busyShare << ", waiting " << figures.meanWaiting << ", refused "
              << figures.refused << ", unfinished " << figures.unfinished << '\n';
}

auto compare(const Shape& shape, const PolicySettings& product, double load, std::uint64_t seed, Ratios& ratios) -> void
{
    const auto plans = laburnummill::testing::makeWorkload(shape, load, seed);
    auto baseline = PolicySettings();
    baseline.name = "firstcome";
    const auto first = runOne(shape, plans, baseline, seed);
    baseline.name = "leastloaded";
    const auto least = runOne(shape, plans, baseline, seed);
    const auto own = runOne(shape, plans, product, seed);
    std::cout << "seed " << seed << ", " << plans.size() << " programs\n";
    print("firstcome", first);
    print("leastloaded", least);
    print(product.name, own);
    ratios.add("program_latency_p50_ratio", own.latencyP50, first.latencyP50, least.latencyP50);
    ratios.add("program_latency_p95_ratio", own.latencyP95, first.latencyP95, least.latencyP95);
    ratios.add("worst_account_p95_ratio", own.worstAccountP95, first.worstAccountP95, least.worstAccountP95);
    ratios.add("wasted_cache_ratio", own.recomputedTokens, first.recomputedTokens, least.recomputedTokens);
    ratios.addPlain("slowdown_p95", own.slowdownP95);
    ratios.addPlain("slowdown_p95_baseline", std::min(first.slowdownP95, least.slowdownP95));
    ratios.addPlain("busy_share_baseline", std::min(first.busyShare, least.busyShare));
    ratios.addPlain("busy_share", own.busyShare);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto described = options::options_description("measure-policy: the product's policy against the baselines, on the same arrivals");
    auto add = described.add_options();
    add("preset", options::value<std::string>()->default_value("podlozhka"), "podlozhka or piedmont");
    add("seed", options::value<std::uint64_t>()->default_value(1), "first of the seeds");
    add("seeds", options::value<std::uint64_t>()->default_value(s_seedsWithin), "how many seeds");
    add("load", options::value<double>()->default_value(1.0), "factor on the arrivals");
    add("fairness", options::value<double>(), "in place of the preset's");
    add("ageing", options::value<double>(), "tokens per second, in place of the preset's");
    add("passed", options::value<std::uint32_t>(), "milliseconds, in place of the preset's");
    auto chosen = options::variables_map();
    options::store(options::parse_command_line(argc, argv, described), chosen);
    const auto preset = chosen["preset"].as<std::string>();
    const auto shape = laburnummill::testing::shapeOf(preset);
    auto product = laburnummill::configuration::policyPreset(preset);
    product.fairness = chosen.contains("fairness") ? chosen["fairness"].as<double>() : product.fairness;
    product.ageingTokensPerSecond = chosen.contains("ageing") ? chosen["ageing"].as<double>() : product.ageingTokensPerSecond;
    product.passedAtMostMs = chosen.contains("passed") ? chosen["passed"].as<std::uint32_t>() : product.passedAtMostMs;
    const auto load = chosen["load"].as<double>();
    auto ratios = Ratios();
    const auto first = chosen["seed"].as<std::uint64_t>();
    for (auto seed = first; seed < first + chosen["seeds"].as<std::uint64_t>(); ++seed) {
        compare(shape, product, load, seed, ratios);
    }
    auto document = ratios.toJson();
    document["preset"] = preset;
    document["load"] = load;
    std::cout << document.dump() << '\n';
    return 0;
}
