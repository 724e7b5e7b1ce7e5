#pragma once

namespace ggv {

class RequestFingerprint;
class CrashEvidence;
class RequestQuarantine;
struct RequestReport;
struct QuarantineChange;

} // namespace ggv
