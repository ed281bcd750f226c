// Reads documents with every fault collected.
//
// Sections:
//   FieldReader   typed access to one JSON object
//   Parameters    filling in "${name}"
//   Policy        reading the filled-in policy
//   Documents     keys, sets and their faults

#include "arbutus/config/document.h"

#include <algorithm>
#include <array>
#include <optional>

namespace arbutus::config {

namespace {

namespace json = boost::json;

constexpr double MaxDeadlineMs = 24.0 * 3600.0 * 1000.0;
constexpr double MaxRate = 1'000'000.0; // requests a second
constexpr double MaxConcurrency = 1'000'000.0;

//-----------------------------------------------------------------------------
// FieldReader
//-----------------------------------------------------------------------------

/// Reads fields of one object, noting each fault as "path: found …, allowed …".
class FieldReader
{
public:
    FieldReader(const json::object &object, std::string path, std::vector<std::string> &faults)
        : m_object(object)
        , m_path(std::move(path))
        , m_faults(faults)
    {
    }

    double number(std::string_view name, double fallback, double low, double high)
    {
        const json::value *value = take(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number()) {
            fault(name, *value, "a number");
            return fallback;
        }
        const auto found = value->to_number<double>();
        if (found < low || found > high) {
            fault(name, *value, "a number from " + json::serialize(json::value(low)) + " to " + json::serialize(json::value(high)));
            return fallback;
        }
        return found;
    }

    bool boolean(std::string_view name, bool fallback)
    {
        const json::value *value = take(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_bool()) {
            fault(name, *value, "true or false");
            return fallback;
        }
        return value->as_bool();
    }

    std::string text(std::string_view name, std::string_view fallback)
    {
        const json::value *value = take(name);
        if (value == nullptr) {
            return std::string(fallback);
        }
        if (!value->is_string() || value->as_string().empty()) {
            fault(name, *value, "a text");
            return std::string(fallback);
        }
        return std::string(value->as_string());
    }

    std::vector<std::string> texts(std::string_view name)
    {
        std::vector<std::string> out;
        const json::value *value = take(name);
        if (value == nullptr) {
            return out;
        }
        if (!value->is_array()) {
            fault(name, *value, "a list of texts");
            return out;
        }
        for (const json::value &item : value->as_array()) {
            if (!item.is_string() || item.as_string().empty()) {
                fault(name, item, "a text in the list");
                continue;
            }
            out.emplace_back(item.as_string());
        }
        return out;
    }

    const json::object *object(std::string_view name)
    {
        const json::value *value = take(name);
        if (value == nullptr) {
            return nullptr;
        }
        if (!value->is_object()) {
            fault(name, *value, "an object");
            return nullptr;
        }
        return &value->as_object();
    }

    void note(const std::string &text)
    {
        m_faults.push_back(m_path + ": " + text);
    }

    /// Notes every field that nobody asked for.
    void finish()
    {
        for (const auto &field : m_object) {
            if (!m_taken.contains(std::string(field.key()))) {
                m_faults.push_back(m_path + "." + std::string(field.key()) + ": unknown key");
            }
        }
    }

private:
    const json::value *take(std::string_view name)
    {
        m_taken.insert(std::string(name));
        return m_object.if_contains(name);
    }

    void fault(std::string_view name, const json::value &found, const std::string &allowed)
    {
        m_faults.push_back(m_path + "." + std::string(name) + ": found " + json::serialize(found) + ", allowed is " + allowed);
    }

    const json::object &m_object;
    std::string m_path;
    std::vector<std::string> &m_faults;
    std::set<std::string> m_taken;
};

//-----------------------------------------------------------------------------
// Parameters
//-----------------------------------------------------------------------------

/// Name inside "${name}", or nothing.
std::optional<std::string> parameterName(const json::value &value)
{
    if (!value.is_string()) {
        return std::nullopt;
    }
    const std::string_view text = value.as_string();
    if (text.size() < 4 || !text.starts_with("${") || !text.ends_with("}")) {
        return std::nullopt;
    }
    return std::string(text.substr(2, text.size() - 3));
}

json::value fillIn(const json::value &value, const json::object &parameters, const std::string &path, std::vector<std::string> &faults)
{
    if (const auto name = parameterName(value)) {
        const json::value *found = parameters.if_contains(*name);
        if (found == nullptr) {
            faults.push_back(path + ": parameter ${" + *name + "} has no value and no default");
            return nullptr;
        }
        return *found;
    }
    if (value.is_object()) {
        json::object out;
        for (const auto &field : value.as_object()) {
            out[field.key()] = fillIn(field.value(), parameters, path + "." + std::string(field.key()), faults);
        }
        return out;
    }
    if (value.is_array()) {
        json::array out;
        for (const json::value &item : value.as_array()) {
            out.push_back(fillIn(item, parameters, path, faults));
        }
        return out;
    }
    return value;
}

bool hasType(const json::value &value, std::string_view type)
{
    return (type == "number" && value.is_number()) || (type == "text" && value.is_string()) || (type == "list" && value.is_array())
        || (type == "bool" && value.is_bool());
}

void checkRange(const json::object &declared, const json::value &value, const std::string &path, std::vector<std::string> &faults)
{
    if (!value.is_number()) {
        return;
    }
    const auto found = value.to_number<double>();
    const json::value *low = declared.if_contains("min");
    const json::value *high = declared.if_contains("max");
    if ((low != nullptr && low->is_number() && found < low->to_number<double>())
        || (high != nullptr && high->is_number() && found > high->to_number<double>())) {
        faults.push_back(path + ": found " + json::serialize(value) + ", outside the range that the template declares");
    }
}

/// Values of all declared parameters, defaults filled in.
json::object parameterValues(const json::object &declared, const json::object &given, const std::string &path, std::vector<std::string> &faults)
{
    json::object out;
    for (const auto &field : declared) {
        const std::string name(field.key());
        const json::object empty;
        const json::object &rules = field.value().is_object() ? field.value().as_object() : empty;
        const json::value *value = given.if_contains(name);
        if (value == nullptr) {
            value = rules.if_contains("default");
        }
        if (value == nullptr) {
            continue;
        }
        const json::value *type = rules.if_contains("type");
        if (type != nullptr && type->is_string() && !hasType(*value, type->as_string())) {
            faults.push_back(path + ".parameters." + name + ": found " + json::serialize(*value) + ", allowed is a " + std::string(type->as_string()));
        }
        checkRange(rules, *value, path + ".parameters." + name, faults);
        out[name] = *value;
    }
    for (const auto &field : given) {
        if (!declared.contains(field.key())) {
            faults.push_back(path + ".parameters." + std::string(field.key()) + ": the template declares no such parameter");
        }
    }
    return out;
}

//-----------------------------------------------------------------------------
// Policy
//-----------------------------------------------------------------------------

Urgency readUrgency(FieldReader &reader)
{
    const std::string name = reader.text("urgency", "normal");
    if (name == "urgent") {
        return Urgency::Urgent;
    }
    if (name == "background") {
        return Urgency::Background;
    }
    if (name != "normal") {
        reader.note("urgency: found \"" + name + "\", allowed is urgent, normal or background");
    }
    return Urgency::Normal;
}

RequestClass readClass(const std::string &id, const json::object &object, const std::string &path, std::vector<std::string> &faults)
{
    FieldReader reader(object, path + ".classes." + id, faults);
    RequestClass out;
    out.id = core::ClassId(id);
    out.urgency = readUrgency(reader);
    out.deadline = std::chrono::milliseconds(static_cast<std::int64_t>(reader.number("deadline_ms", 30'000, 1, MaxDeadlineMs)));
    out.mayWait = reader.boolean("may_wait", false);
    out.repeatable = reader.boolean("repeatable", true);
    reader.finish();
    return out;
}

void readClasses(FieldReader &reader, const std::string &path, WorkspacePolicy &policy, std::vector<std::string> &faults)
{
    const json::object *classes = reader.object("classes");
    if (classes == nullptr || classes->empty()) {
        reader.note("classes: at least one request class is needed");
        return;
    }
    for (const auto &field : *classes) {
        const std::string id(field.key());
        if (!field.value().is_object()) {
            reader.note("classes." + id + ": found no object");
            continue;
        }
        policy.classes[core::ClassId(id)] = readClass(id, field.value().as_object(), path, faults);
    }
    policy.defaultClass = core::ClassId(reader.text("default_class", std::string_view(classes->begin()->key())));
    if (!policy.classes.contains(policy.defaultClass)) {
        reader.note("default_class: names no class of this template");
    }
}

void readWeightsAndLimits(FieldReader &reader, const std::string &path, WorkspacePolicy &policy, std::vector<std::string> &faults)
{
    if (const json::object *weights = reader.object("weights")) {
        FieldReader fields(*weights, path + ".weights", faults);
        policy.weights.cost = fields.number("cost", 0.5, 0, 1);
        policy.weights.latency = fields.number("latency", 0.5, 0, 1);
        fields.finish();
    }
    if (const json::object *limits = reader.object("limits")) {
        FieldReader fields(*limits, path + ".limits", faults);
        policy.limits.requestsPerSecond = fields.number("requests_per_s", policy.limits.requestsPerSecond, 0.001, MaxRate);
        policy.limits.burst = fields.number("burst", policy.limits.requestsPerSecond * 2, 1, MaxRate);
        policy.limits.concurrency = static_cast<std::uint32_t>(fields.number("concurrency", policy.limits.concurrency, 1, MaxConcurrency));
        fields.finish();
    }
}

template<class Id>
std::set<Id> toIds(const std::vector<std::string> &texts)
{
    std::set<Id> out;
    for (const std::string &text : texts) {
        out.insert(Id(text));
    }
    return out;
}

WorkspacePolicy readPolicy(const json::object &object, const std::string &path, std::vector<std::string> &faults)
{
    FieldReader reader(object, path, faults);
    WorkspacePolicy policy;
    policy.models = toIds<core::ModelId>(reader.texts("models"));
    policy.services = toIds<core::ServiceId>(reader.texts("services"));
    policy.residency = toIds<core::RegionId>(reader.texts("residency"));
    policy.homeRegion = core::RegionId(reader.text("home_region", ""));
    if (policy.residency.empty()) {
        reader.note("residency: at least one region is needed");
    }
    if (!policy.residency.contains(policy.homeRegion)) {
        reader.note("home_region: found \"" + policy.homeRegion.text + "\", allowed is a region of residency");
    }
    readClasses(reader, path, policy, faults);
    readWeightsAndLimits(reader, path, policy, faults);
    reader.finish();
    return policy;
}

const json::object *findDocument(const DocumentSet &documents, const std::string &kind, const std::string &id)
{
    const auto found = documents.find(DocumentKey{kind, id});
    return found == documents.end() ? nullptr : &found->second;
}

WorkspacePolicy resolveCollecting(const DocumentSet &documents, const core::WorkspaceId &workspace, std::vector<std::string> &faults)
{
    const std::string path = "workspace/" + workspace.text;
    const json::object *document = findDocument(documents, "workspace", workspace.text);
    if (document == nullptr) {
        faults.push_back(path + ": no such document");
        return {};
    }
    FieldReader reader(*document, path, faults);
    reader.text("kind", "");
    reader.text("id", "");
    const std::string templateId = reader.text("template", "");
    const std::vector<std::string> keys = reader.texts("key_sha256");
    const json::object *given = reader.object("parameters");
    reader.finish();

    const json::object *source = findDocument(documents, "template", templateId);
    if (source == nullptr) {
        faults.push_back(path + ".template: found \"" + templateId + "\", which is no template");
        return {};
    }
    const json::object empty;
    const json::value *declared = source->if_contains("parameters");
    const json::value *body = source->if_contains("policy");
    if (body == nullptr || !body->is_object()) {
        faults.push_back("template/" + templateId + ".policy: an object is needed");
        return {};
    }
    const json::object values =
        parameterValues(declared != nullptr && declared->is_object() ? declared->as_object() : empty, given != nullptr ? *given : empty, path, faults);
    const json::value filled = fillIn(*body, values, path + ".policy", faults);
    WorkspacePolicy policy = readPolicy(filled.as_object(), path + ".policy", faults);
    policy.workspace = workspace;
    policy.apiKeyHashes = keys;
    if (keys.empty()) {
        faults.push_back(path + ".key_sha256: at least one key is needed");
    }
    return policy;
}

std::string join(const std::vector<std::string> &faults)
{
    std::string out;
    for (const std::string &fault : faults) {
        out += (out.empty() ? "" : "; ") + fault;
    }
    return out;
}

} // namespace

//-----------------------------------------------------------------------------
// Documents
//-----------------------------------------------------------------------------

core::Result<DocumentKey> documentKey(const json::object &document)
{
    static constexpr std::array<std::string_view, 3> Kinds{"template", "workspace", "upstream"};
    const json::value *kind = document.if_contains("kind");
    const json::value *id = document.if_contains("id");
    if (kind == nullptr || !kind->is_string() || id == nullptr || !id->is_string() || id->as_string().empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, "a document needs the texts \"kind\" and \"id\"");
    }
    if (std::find(Kinds.begin(), Kinds.end(), std::string_view(kind->as_string())) == Kinds.end()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, "kind: found " + json::serialize(*kind) + ", allowed is template, workspace or upstream");
    }
    return DocumentKey{std::string(kind->as_string()), std::string(id->as_string())};
}

core::Result<WorkspacePolicy> resolvePolicy(const DocumentSet &documents, const core::WorkspaceId &workspace)
{
    std::vector<std::string> faults;
    WorkspacePolicy policy = resolveCollecting(documents, workspace, faults);
    if (!faults.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, join(faults));
    }
    return policy;
}

std::vector<std::string> validate(const DocumentSet &documents)
{
    std::vector<std::string> faults;
    for (const core::WorkspaceId &workspace : listWorkspaces(documents)) {
        resolveCollecting(documents, workspace, faults);
    }
    for (const auto &[key, document] : documents) {
        if (key.kind != "upstream") {
            continue;
        }
        FieldReader reader(document, "upstream/" + key.id, faults);
        reader.text("kind", "");
        reader.text("id", "");
        reader.boolean("checks_fencing", false);
        reader.finish();
    }
    return faults;
}

std::vector<core::WorkspaceId> listWorkspaces(const DocumentSet &documents)
{
    std::vector<core::WorkspaceId> out;
    for (const auto &[key, document] : documents) {
        if (key.kind == "workspace") {
            out.emplace_back(key.id);
        }
    }
    return out;
}

bool checksFencing(const DocumentSet &documents, const core::UpstreamId &upstream)
{
    const json::object *document = findDocument(documents, "upstream", upstream.text);
    const json::value *checks = document == nullptr ? nullptr : document->if_contains("checks_fencing");
    return checks != nullptr && checks->is_bool() && checks->as_bool();
}

} // namespace arbutus::config
