#include <ggv/ctl/api_client.hpp>

#include <deque>
#include <thread>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
namespace asio = boost::asio;
using asio::ip::tcp;

const std::string NoResponse; // Empty: the host closes the connection after the request.

//! Fake host: sends one canned response per connection and records the request lines.
class FakeHost
{
public:
    explicit FakeHost(std::deque<std::string> responses)
        : m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_responses(std::move(responses))
        , m_thread([this] { serve(); })
    { }
    ~FakeHost()
    {
        // Ends the wait for connections that the tested code didn't open.
        (void)::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }
    FakeHost(const FakeHost &) = delete;
    FakeHost &operator=(const FakeHost &) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    const std::vector<std::string> &requests() const { return m_requests; }

private:
    void serve()
    {
        for (const auto &response : m_responses) {
            tcp::socket socket(m_context);
            boost::system::error_code ec;
            m_acceptor.accept(socket, ec);
            if (ec)
                return;
            std::string text;
            asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n");
            // Request bodies in these tests end with the line "end".
            const bool hasBody = text.starts_with("POST");
            if (hasBody && !text.ends_with("\nend"))
                asio::read_until(socket, asio::dynamic_buffer(text), "\nend");
            m_requests.push_back(text.substr(0, text.find("\r\n")));
            asio::write(socket, asio::buffer(response));
        }
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::deque<std::string> m_responses;
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

std::string makeResponse(const std::string &status, const std::string &body,
                         const std::string &headers = "")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
        + headers + "\r\n" + body;
}

//! Returns a loopback address without a listener.
Endpoint closedEndpoint()
{
    asio::io_context context;
    const tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

const ChangeRequest Change { ChangeId("one two"), 3, "# text\nend" };

class ApiClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApiClientTest);
    CPPUNIT_TEST(fetchesFromNextHostIfUnreachable);
    CPPUNIT_TEST(reportsUnreachableHosts);
    CPPUNIT_TEST(reportsRejectedToken);
    CPPUNIT_TEST(submitsChange);
    CPPUNIT_TEST(reportsVersionConflict);
    CPPUNIT_TEST(resendsToNextHostAfterLostResponse);
    CPPUNIT_TEST(reportsUnknownOutcomeAfterLostResponse);
    CPPUNIT_TEST(reportsUnknownOutcomeWithoutQuorum);
    CPPUNIT_TEST(keepsOutcomeUnknownAfterRejectedToken);
    CPPUNIT_TEST(asksNextHostAfterInvalidStatus);
    CPPUNIT_TEST(reportsUnknownOutcomeAfterInvalidStatus);
    CPPUNIT_TEST(reportsUnknownOutcomeAfterUnreadableResult);
    CPPUNIT_TEST_SUITE_END();

public:
    void fetchesFromNextHostIfUnreachable()
    {
        FakeHost host({ makeResponse("200 OK", "# register\n", "Ggv-Version: 7\r\n") });
        const ApiClient client({ { closedEndpoint(), host.endpoint() }, "secret" });
        const auto fetched = client.fetchRegister();
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 7 }, fetched.version);
        CPPUNIT_ASSERT_EQUAL(std::string("# register\n"), fetched.text);
    }

    void reportsUnreachableHosts()
    {
        const ApiClient client({ { closedEndpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::TargetUnreachable
                       == errorCodeOf([&] { (void)client.fetchRegister(); }));
        CPPUNIT_ASSERT(ResultCode::TargetUnreachable
                       == errorCodeOf([&] { (void)client.apply(Change); }));
    }

    void reportsRejectedToken()
    {
        const auto rejection = makeResponse("403 Forbidden", "{\"result\":207}");
        FakeHost host({ rejection, rejection });
        const ApiClient client({ { host.endpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::NotAuthorized
                       == errorCodeOf([&] { (void)client.fetchRegister(); }));
        CPPUNIT_ASSERT(ResultCode::NotAuthorized
                       == errorCodeOf([&] { (void)client.apply(Change); }));
    }

    void submitsChange()
    {
        FakeHost host({ makeResponse("200 OK", R"({"result":0,"version":4,"message":""})") });
        const auto outcome = ApiClient({ { host.endpoint() }, "secret" }).apply(Change);
        CPPUNIT_ASSERT(ResultCode::Ok == outcome.code);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 4 }, outcome.version);
        const std::string line = "POST /v1/register?change=one%20two&expected=3 HTTP/1.1";
        CPPUNIT_ASSERT_EQUAL(line, host.requests().at(0));
    }

    void reportsVersionConflict()
    {
        FakeHost host(
            { makeResponse("409 Conflict", R"({"result":203,"version":9,"message":"newer"})") });
        const auto outcome = ApiClient({ { host.endpoint() }, "secret" }).apply(Change);
        CPPUNIT_ASSERT(ResultCode::VersionConflict == outcome.code);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 9 }, outcome.version);
    }

    void resendsToNextHostAfterLostResponse()
    {
        FakeHost first({ NoResponse });
        FakeHost second({ makeResponse("200 OK", R"({"result":0,"version":4})") });
        const ApiClient client({ { first.endpoint(), second.endpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::Ok == client.apply(Change).code);
        CPPUNIT_ASSERT(first.requests() == second.requests());
    }

    void reportsUnknownOutcomeAfterLostResponse()
    {
        FakeHost host({ NoResponse });
        const ApiClient client({ { host.endpoint(), closedEndpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::ChangeOutcomeUnknown == client.apply(Change).code);
    }

    void reportsUnknownOutcomeWithoutQuorum()
    {
        FakeHost host({ makeResponse("503 Service Unavailable", R"({"result":206})") });
        const ApiClient client({ { host.endpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::ChangeOutcomeUnknown == client.apply(Change).code);
    }

    void keepsOutcomeUnknownAfterRejectedToken()
    {
        FakeHost first({ NoResponse });
        FakeHost second({ makeResponse("403 Forbidden", R"({"result":207})") });
        const ApiClient client({ { first.endpoint(), second.endpoint() }, "secret" });
        CPPUNIT_ASSERT(ResultCode::ChangeOutcomeUnknown == client.apply(Change).code);
    }

    void asksNextHostAfterInvalidStatus()
    {
        for (const std::string status : { "000 Text", "099 Text", "600 Text", "999 Text" }) {
            FakeHost first({ makeResponse(status, "# broken\n", "Ggv-Version: 6\r\n") });
            FakeHost second({ makeResponse("200 OK", "# register\n", "Ggv-Version: 7\r\n") });
            const ApiClient client({ { first.endpoint(), second.endpoint() }, "secret" });
            CPPUNIT_ASSERT_EQUAL(RegisterVersion { 7 }, client.fetchRegister().version);
        }
    }

    void reportsUnknownOutcomeAfterInvalidStatus()
    {
        for (const std::string status : { "000 Text", "099 Text", "600 Text", "999 Text" }) {
            FakeHost host({ makeResponse(status, R"({"result":0,"version":4})") });
            const ApiClient client({ { host.endpoint() }, "secret" });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(status, static_cast<int>(ResultCode::ChangeOutcomeUnknown),
                                         static_cast<int>(client.apply(Change).code));
        }
    }

    void reportsUnknownOutcomeAfterUnreadableResult()
    {
        for (const std::string body :
             { "", "x", "[]", R"({"result":"0","version":4})", R"({"result":0,"version":"4"})",
               R"({"result":0,"version":4,"message":5})",
               R"({"result":201,"version":4,"faults":[7]})" }) {
            FakeHost host({ makeResponse("200 OK", body) });
            const ApiClient client({ { host.endpoint() }, "secret" });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, static_cast<int>(ResultCode::ChangeOutcomeUnknown),
                                         static_cast<int>(client.apply(Change).code));
        }
    }

private:
    template <typename Function>
    static ResultCode errorCodeOf(Function function)
    {
        try {
            function();
        } catch (const Error &error) {
            return error.code();
        }
        return ResultCode::Ok;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiClientTest);

} // namespace
