#pragma once

#include <ggv/ctl/connection_options.hpp>
#include <ggv/state/model/register.hpp>
#include <ggv/state/model/register_toml.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

#include <nlohmann/json.hpp>

namespace ggv {

//! The register in force as fetched from a host.
struct FetchedRegister
{
    RegisterVersion version = 0;
    std::string text; //!< TOML document.

    /**
     * @brief Parses the TOML document.
     * @return The register.
     * @throws Error ProtocolViolation if the document is not a valid register.
     */
    [[nodiscard]] Register parse() const;
};

//! A register change to submit to the operators' API.
struct ChangeRequest
{
    ChangeId id; //!< Idempotency id: identical for every retry of the change.
    RegisterVersion expected = 0; //!< Version that the change is based on.
    std::string text; //!< The new register as TOML.
};

//! Outcome of a submitted change.
struct ChangeOutcome
{
    ResultCode code = ResultCode::Ok; //!< With ChangeOutcomeUnknown, the same change may be resent.
    RegisterVersion version = 0; //!< Version of the change, or the one in force on conflict.
    std::string message;
    std::vector<RegisterFault> faults; //!< Validation errors that the host reports.
};

//! Client of the operators' API; uses the first host that responds.
class ApiClient
{
public:
    //! @param options Hosts and credentials.
    explicit ApiClient(ConnectionOptions options);

    /**
     * @brief Fetches the register in force.
     * @return The register.
     * @throws Error TargetUnreachable, NotAuthorized, or the result code in the host's response.
     */
    [[nodiscard]] FetchedRegister fetchRegister() const;

    /**
     * @brief Fetches a JSON resource.
     * @param target Path and query.
     * @return The response body.
     * @throws Error The same errors as fetchRegister().
     */
    [[nodiscard]] nlohmann::json fetchJson(const std::string &target) const;

    /**
     * @brief Submits a change to each host in order until one responds with a definite outcome.
     * @param change The change.
     * @return The outcome; ChangeOutcomeUnknown if a host may have accepted the change but its
     * response was lost or reported a server error.
     * @throws Error TargetUnreachable if no host could be reached, or NotAuthorized.
     */
    [[nodiscard]] ChangeOutcome apply(const ChangeRequest &change) const;

private:
    HttpAnswer get(const std::string &target) const;
    HttpRequestHead head(const std::string &method, const std::string &target) const;

    ConnectionOptions m_options;
};

/**
 * @brief Percent-encodes the value of a query parameter.
 * @param text The unencoded value.
 * @return The encoded value.
 */
[[nodiscard]] std::string encodeQueryValue(const std::string &text);

} // namespace ggv
