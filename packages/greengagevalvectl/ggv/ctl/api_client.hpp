#pragma once

#include <ggv/ctl/access.hpp>
#include <ggv/state/model/register.hpp>
#include <ggv/state/model/register_toml.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! The register in force and its text.
struct FetchedRegister
{
    RegisterVersion version = 0;
    std::string text;

    /**
     * @brief Reads the text.
     * @return The register.
     * @throws Error ProtocolViolation if the text is not a register.
     */
    [[nodiscard]] Register parse() const;
};

//! A change that is sent to the operators' interface.
struct ChangeRequest
{
    ChangeId id; //!< The same one each time that the change is sent.
    RegisterVersion expected = 0; //!< Version that the change starts from.
    std::string text; //!< The new register as TOML.
};

//! What became of a change.
struct ChangeOutcome
{
    ResultCode code = ResultCode::Ok; //!< ChangeOutcomeUnknown: the same change may be resent.
    RegisterVersion version = 0; //!< Version of the change, or in force at a conflict.
    std::string message;
    std::vector<RegisterFault> faults; //!< Found by the host in the text.
};

//! The operators' interface of the first host that answers.
class ApiClient
{
public:
    //! @param access Hosts and token.
    explicit ApiClient(Access access);

    /**
     * @brief Fetches the register in force.
     * @return The register.
     * @throws Error TargetUnreachable, NotAuthorized, or the result that a host answers.
     */
    [[nodiscard]] FetchedRegister fetchRegister() const;

    /**
     * @brief Fetches JSON.
     * @param target Path and query.
     * @return The answer.
     * @throws Error as fetchRegister() does.
     */
    [[nodiscard]] nlohmann::json fetchJson(const std::string &target) const;

    /**
     * @brief Sends a change to one host after the other until one gives a definite answer.
     * @param change The change.
     * @return The outcome; ChangeOutcomeUnknown if a host may have accepted it without an answer.
     * @throws Error TargetUnreachable if no host was reached, NotAuthorized.
     */
    [[nodiscard]] ChangeOutcome apply(const ChangeRequest &change) const;

private:
    HttpAnswer get(const std::string &target) const;
    HttpRequestHead head(const std::string &method, const std::string &target) const;

    Access m_access;
};

/**
 * @brief Writes a text so that it can be the value of a query parameter.
 * @param text The text.
 * @return The text with percent encoding.
 */
[[nodiscard]] std::string encodeQueryValue(const std::string &text);

} // namespace ggv
