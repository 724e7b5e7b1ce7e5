#include <ggv/coordination/entry/headers.hpp>
#include <ggv/coordination/entry/request_plan.hpp>
#include <ggv/coordination/entry/system_answer.hpp>
#include <ggv/coordination/entry/target_table.hpp>
#include <ggv/state/model/register_toml.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::HttpRequestHead;
using ggv::Register;
using ggv::RequestKind;
using ggv::ResultCode;

constexpr const char *Text = R"(
[control]
voters = ["a-1"]

[[claim_group]]
name = "orders"
voters = ["a-1"]

[[region]]
name = "north"

[[region]]
name = "south"

[[failure_domain]]
name = "a"
region = "north"

[[failure_domain]]
name = "b"
region = "south"

[[entry_host]]
name = "a-1"
domain = "a"
callers = "127.0.0.1:8101"
operators = "127.0.0.1:8201"
internal = "127.0.0.1:8301"
disk = true

[[service]]
name = "shop"
claim_group = "orders"

[[service.non_idempotent]]
method = "POST"
path_prefix = "/orders"

[[target]]
name = "shop-1"
service = "shop"
domain = "a"
endpoint = "127.0.0.1:9001"
slots = 4
connections = 10

[[target]]
name = "shop-2"
service = "shop"
domain = "b"
endpoint = "127.0.0.1:9002"
slots = 4
connections = 10
)";

std::shared_ptr<const Register> sampleRegister()
{
    const auto document = ggv::parseRegisterToml(Text);
    CPPUNIT_ASSERT(document.faults.empty());
    return std::make_shared<const Register>(Register::create(1, document.content).value());
}

HttpRequestHead headOf(const std::string &method, const std::string &target,
                       const ggv::HttpHeaders &headers)
{
    HttpRequestHead head;
    head.method = method;
    head.target = target;
    head.headers = headers;
    return head;
}

//! A request head and the expected plan.
struct PlanCase
{
    const char *method;
    const char *target;
    ggv::HttpHeaders headers;
    ResultCode refusal;
    RequestKind kind;
};

class EntryFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryFaultsTest);
    CPPUNIT_TEST(plansMatchRequestHeads);
    CPPUNIT_TEST(refusedPlansHaveRemainingTime);
    CPPUNIT_TEST(demandIsComputedWithoutLinks);
    CPPUNIT_TEST(malformedRequestsGetNotRunVerdict);
    CPPUNIT_TEST_SUITE_END();

public:
    void plansMatchRequestHeads()
    {
        const auto view = m_targetTable.buildView(sampleRegister(), ggv::Instant());
        for (const auto &it : cases()) {
            const auto plan = ggv::planRequest(*view, headOf(it.method, it.target, it.headers));
            CPPUNIT_ASSERT(plan.refusal == it.refusal);
            CPPUNIT_ASSERT(plan.kind == it.kind);
        }
    }

    // Guards against a plan that is refused before its time budget is set: with a budget of zero,
    // the response reported an expired deadline instead of the reason for the refusal.
    void refusedPlansHaveRemainingTime()
    {
        const auto view = m_targetTable.buildView(sampleRegister(), ggv::Instant());
        for (const auto &it : cases()) {
            const auto plan = ggv::planRequest(*view, headOf(it.method, it.target, it.headers));
            CPPUNIT_ASSERT(plan.remainingTime > ggv::Duration(0));
        }
    }

    // Guards against a crash when demand is computed for regions without a link between them.
    void demandIsComputedWithoutLinks()
    {
        (void)m_targetTable.buildView(sampleRegister(), ggv::Instant());
        const auto start = ggv::Instant(ggv::Duration(1));
        (void)m_targetTable.takeDemands(start);
        const auto demands = m_targetTable.takeDemands(start + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, demands.size());
    }

    void malformedRequestsGetNotRunVerdict()
    {
        const auto answer = ggv::faultAnswer(ResultCode::MalformedRequest, "two lengths");
        const auto *verdict = ggv::findHeader(answer.headers, ggv::VerdictHeader);
        const auto *result = ggv::findHeader(answer.headers, ggv::ResultHeader);
        CPPUNIT_ASSERT(verdict != nullptr && *verdict == "not run");
        CPPUNIT_ASSERT(result != nullptr && *result == "130 malformed-request");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 400 }, answer.status);
    }

private:
    static std::vector<PlanCase> cases()
    {
        const auto idempotent = RequestKind::Idempotent;
        const auto nonIdempotent = RequestKind::NonIdempotent;
        return {
            { "GET", "/x", { { "Host", "shop" } }, ResultCode::Ok, idempotent },
            { "GET", "/x", { { "Host", "shop:8101" } }, ResultCode::Ok, idempotent },
            { "GET",
              "/x",
              { { "Host", "x" }, { "Ggv-Service", "shop" } },
              ResultCode::Ok,
              idempotent },
            { "GET", "/x", { { "Host", "none" } }, ResultCode::NoSuchService, idempotent },
            { "GET", "/x", {}, ResultCode::NoSuchService, idempotent },
            { "POST",
              "/x",
              { { "Host", "none" }, { "Idempotency-Key", "k" } },
              ResultCode::NoSuchService,
              nonIdempotent },
            { "POST",
              "/orders",
              { { "Host", "shop" } },
              ResultCode::IdempotencyKeyMissing,
              nonIdempotent },
            { "POST",
              "/orders/7?a=b",
              { { "Host", "shop" }, { "Idempotency-Key", "k" } },
              ResultCode::Ok,
              nonIdempotent },
            { "POST", "/ordersets", { { "Host", "shop" } }, ResultCode::Ok, idempotent },
            { "POST",
              "/orders",
              { { "Host", "shop" }, { "Idempotency-Key", "a b" } },
              ResultCode::IdempotencyKeyInvalid,
              nonIdempotent },
            { "GET",
              "/x",
              { { "Host", "shop" }, { "Ggv-Timeout-Ms", "0" } },
              ResultCode::DeadlineInvalid,
              idempotent },
            { "GET",
              "/x",
              { { "Host", "shop" }, { "Ggv-Timeout-Ms", "12x" } },
              ResultCode::DeadlineInvalid,
              idempotent },
        };
    }

    ggv::TargetTable m_targetTable { ggv::FailureDomainName("a") };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryFaultsTest);

} // namespace
