// Parses and validates documents, collecting all errors.
//
// Sections:
//   FieldReader   typed access to one JSON object
//   Parameters    substitution of "${name}"
//   Policy        parsing of the substituted policy
//   Documents     keys, resolution and validation

#include "arbutus/config/document.h"

#include <algorithm>
#include <array>
#include <optional>

namespace arbutus::config {

namespace {

namespace json = boost::json;

constexpr double MaxDeadlineMs = 24.0 * 3600.0 * 1000.0;
constexpr double MaxRequestsPerSecond = 1'000'000.0;
constexpr double MaxConcurrency = 1'000'000.0;

//-----------------------------------------------------------------------------
// FieldReader
//-----------------------------------------------------------------------------

/// Reads fields of one object and records each invalid value as "path: found …, expected …".
class FieldReader
{
public:
    FieldReader(const json::object &object, std::string path, std::vector<std::string> &errors)
        : m_object(object)
        , m_path(std::move(path))
        , m_errors(errors)
    {
    }

    double number(std::string_view name, double fallback, double min, double max)
    {
        const json::value *value = findField(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_number()) {
            addValueError(name, *value, "a number");
            return fallback;
        }
        const auto found = value->to_number<double>();
        if (found < min || found > max) {
            addValueError(name, *value, "a number from " + json::serialize(json::value(min)) + " to " + json::serialize(json::value(max)));
            return fallback;
        }
        return found;
    }

    bool boolean(std::string_view name, bool fallback)
    {
        const json::value *value = findField(name);
        if (value == nullptr) {
            return fallback;
        }
        if (!value->is_bool()) {
            addValueError(name, *value, "true or false");
            return fallback;
        }
        return value->as_bool();
    }

    std::string string(std::string_view name, std::string_view fallback)
    {
        const json::value *value = findField(name);
        if (value == nullptr) {
            return std::string(fallback);
        }
        if (!value->is_string() || value->as_string().empty()) {
            addValueError(name, *value, "a non-empty string");
            return std::string(fallback);
        }
        return std::string(value->as_string());
    }

    std::vector<std::string> strings(std::string_view name)
    {
        std::vector<std::string> out;
        const json::value *value = findField(name);
        if (value == nullptr) {
            return out;
        }
        if (!value->is_array()) {
            addValueError(name, *value, "an array of strings");
            return out;
        }
        for (const json::value &item : value->as_array()) {
            if (!item.is_string() || item.as_string().empty()) {
                addValueError(name, item, "a non-empty string");
                continue;
            }
            out.emplace_back(item.as_string());
        }
        return out;
    }

    const json::object *object(std::string_view name)
    {
        const json::value *value = findField(name);
        if (value == nullptr) {
            return nullptr;
        }
        if (!value->is_object()) {
            addValueError(name, *value, "an object");
            return nullptr;
        }
        return &value->as_object();
    }

    void addError(const std::string &message)
    {
        m_errors.push_back(m_path + ": " + message);
    }

    /// Records an error for every field that was not read.
    void rejectUnknownFields()
    {
        for (const auto &field : m_object) {
            if (!m_knownFields.contains(std::string(field.key()))) {
                m_errors.push_back(m_path + "." + std::string(field.key()) + ": unknown key");
            }
        }
    }

private:
    const json::value *findField(std::string_view name)
    {
        m_knownFields.insert(std::string(name));
        return m_object.if_contains(name);
    }

    void addValueError(std::string_view name, const json::value &found, const std::string &expected)
    {
        m_errors.push_back(m_path + "." + std::string(name) + ": found " + json::serialize(found) + ", expected " + expected);
    }

    const json::object &m_object;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::set<std::string> m_knownFields;
};

//-----------------------------------------------------------------------------
// Parameters
//-----------------------------------------------------------------------------

/// Returns the name if the value is a "${name}" placeholder.
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

json::value substituteParameters(const json::value &value, const json::object &parameters, const std::string &path, std::vector<std::string> &errors)
{
    if (const auto name = parameterName(value)) {
        const json::value *found = parameters.if_contains(*name);
        if (found == nullptr) {
            errors.push_back(path + ": parameter ${" + *name + "} has neither a value nor a default");
            return nullptr;
        }
        return *found;
    }
    if (value.is_object()) {
        json::object out;
        for (const auto &field : value.as_object()) {
            out[field.key()] = substituteParameters(field.value(), parameters, path + "." + std::string(field.key()), errors);
        }
        return out;
    }
    if (value.is_array()) {
        json::array out;
        for (const json::value &item : value.as_array()) {
            out.push_back(substituteParameters(item, parameters, path, errors));
        }
        return out;
    }
    return value;
}

bool matchesType(const json::value &value, std::string_view type)
{
    return (type == "number" && value.is_number()) || (type == "text" && value.is_string()) || (type == "list" && value.is_array())
        || (type == "bool" && value.is_bool());
}

void checkRange(const json::object &declared, const json::value &value, const std::string &path, std::vector<std::string> &errors)
{
    if (!value.is_number()) {
        return;
    }
    const auto found = value.to_number<double>();
    const json::value *min = declared.if_contains("min");
    const json::value *max = declared.if_contains("max");
    if ((min != nullptr && min->is_number() && found < min->to_number<double>()) || (max != nullptr && max->is_number() && found > max->to_number<double>())) {
        errors.push_back(path + ": found " + json::serialize(value) + ", which is outside the range declared by the template");
    }
}

/// Returns the values of all declared parameters, using defaults where no value is provided.
json::object resolveParameterValues(const json::object &declared, const json::object &provided, const std::string &path, std::vector<std::string> &errors)
{
    json::object out;
    for (const auto &field : declared) {
        const std::string name(field.key());
        const json::object empty;
        const json::object &rules = field.value().is_object() ? field.value().as_object() : empty;
        const json::value *value = provided.if_contains(name);
        if (value == nullptr) {
            value = rules.if_contains("default");
        }
        if (value == nullptr) {
            continue;
        }
        const json::value *type = rules.if_contains("type");
        if (type != nullptr && type->is_string() && !matchesType(*value, type->as_string())) {
            errors.push_back(path + ".parameters." + name + ": found " + json::serialize(*value) + ", expected a value of type "
                             + std::string(type->as_string()));
        }
        checkRange(rules, *value, path + ".parameters." + name, errors);
        out[name] = *value;
    }
    for (const auto &field : provided) {
        if (!declared.contains(field.key())) {
            errors.push_back(path + ".parameters." + std::string(field.key()) + ": not declared by the template");
        }
    }
    return out;
}

//-----------------------------------------------------------------------------
// Policy
//-----------------------------------------------------------------------------

Urgency readUrgency(FieldReader &reader)
{
    const std::string name = reader.string("urgency", "normal");
    if (name == "urgent") {
        return Urgency::Urgent;
    }
    if (name == "background") {
        return Urgency::Background;
    }
    if (name != "normal") {
        reader.addError("urgency: found \"" + name + "\", expected urgent, normal or background");
    }
    return Urgency::Normal;
}

RequestClass readClass(const std::string &id, const json::object &object, const std::string &path, std::vector<std::string> &errors)
{
    FieldReader reader(object, path + ".classes." + id, errors);
    RequestClass out;
    out.id = core::ClassId(id);
    out.urgency = readUrgency(reader);
    out.deadline = std::chrono::milliseconds(static_cast<std::int64_t>(reader.number("deadline_ms", 30'000, 1, MaxDeadlineMs)));
    out.queueable = reader.boolean("may_wait", false);
    out.repeatable = reader.boolean("repeatable", true);
    reader.rejectUnknownFields();
    return out;
}

void readClasses(FieldReader &reader, const std::string &path, WorkspacePolicy &policy, std::vector<std::string> &errors)
{
    const json::object *classes = reader.object("classes");
    if (classes == nullptr || classes->empty()) {
        reader.addError("classes: at least one request class is required");
        return;
    }
    for (const auto &field : *classes) {
        const std::string id(field.key());
        if (!field.value().is_object()) {
            reader.addError("classes." + id + ": expected an object");
            continue;
        }
        policy.classes[core::ClassId(id)] = readClass(id, field.value().as_object(), path, errors);
    }
    policy.defaultClass = core::ClassId(reader.string("default_class", std::string_view(classes->begin()->key())));
    if (!policy.classes.contains(policy.defaultClass)) {
        reader.addError("default_class: not a class of this template");
    }
}

void readWeightsAndLimits(FieldReader &reader, const std::string &path, WorkspacePolicy &policy, std::vector<std::string> &errors)
{
    if (const json::object *weights = reader.object("weights")) {
        FieldReader fields(*weights, path + ".weights", errors);
        policy.weights.cost = fields.number("cost", 0.5, 0, 1);
        policy.weights.latency = fields.number("latency", 0.5, 0, 1);
        fields.rejectUnknownFields();
    }
    if (const json::object *limits = reader.object("limits")) {
        FieldReader fields(*limits, path + ".limits", errors);
        policy.limits.requestsPerSecond = fields.number("requests_per_s", policy.limits.requestsPerSecond, 0.001, MaxRequestsPerSecond);
        policy.limits.burst = fields.number("burst", policy.limits.requestsPerSecond * 2, 1, MaxRequestsPerSecond);
        policy.limits.concurrency = static_cast<std::uint32_t>(fields.number("concurrency", policy.limits.concurrency, 1, MaxConcurrency));
        fields.rejectUnknownFields();
    }
}

template<class Id>
std::set<Id> toIds(const std::vector<std::string> &values)
{
    std::set<Id> out;
    for (const std::string &value : values) {
        out.insert(Id(value));
    }
    return out;
}

WorkspacePolicy readPolicy(const json::object &object, const std::string &path, std::vector<std::string> &errors)
{
    FieldReader reader(object, path, errors);
    WorkspacePolicy policy;
    policy.models = toIds<core::ModelId>(reader.strings("models"));
    policy.services = toIds<core::ServiceId>(reader.strings("services"));
    policy.residency = toIds<core::RegionId>(reader.strings("residency"));
    policy.homeRegion = core::RegionId(reader.string("home_region", ""));
    if (policy.residency.empty()) {
        reader.addError("residency: at least one region is required");
    }
    if (!policy.residency.contains(policy.homeRegion)) {
        reader.addError("home_region: found \"" + policy.homeRegion.text + "\", expected one of the regions in \"residency\"");
    }
    readClasses(reader, path, policy, errors);
    readWeightsAndLimits(reader, path, policy, errors);
    reader.rejectUnknownFields();
    return policy;
}

const json::object *findDocument(const DocumentSet &documents, const std::string &kind, const std::string &id)
{
    const auto found = documents.find(DocumentKey{kind, id});
    return found == documents.end() ? nullptr : &found->second;
}

WorkspacePolicy resolveCollectingErrors(const DocumentSet &documents, const core::WorkspaceId &workspace, std::vector<std::string> &errors)
{
    const std::string path = "workspace/" + workspace.text;
    const json::object *document = findDocument(documents, "workspace", workspace.text);
    if (document == nullptr) {
        errors.push_back(path + ": document does not exist");
        return {};
    }
    FieldReader reader(*document, path, errors);
    reader.string("kind", "");
    reader.string("id", "");
    const std::string templateId = reader.string("template", "");
    const std::vector<std::string> keys = reader.strings("key_sha256");
    const json::object *provided = reader.object("parameters");
    reader.rejectUnknownFields();

    const json::object *templateDocument = findDocument(documents, "template", templateId);
    if (templateDocument == nullptr) {
        errors.push_back(path + ".template: template \"" + templateId + "\" does not exist");
        return {};
    }
    const json::object empty;
    const json::value *declared = templateDocument->if_contains("parameters");
    const json::value *policyTemplate = templateDocument->if_contains("policy");
    if (policyTemplate == nullptr || !policyTemplate->is_object()) {
        errors.push_back("template/" + templateId + ".policy: expected an object");
        return {};
    }
    const json::object values = resolveParameterValues(
        declared != nullptr && declared->is_object() ? declared->as_object() : empty, provided != nullptr ? *provided : empty, path, errors);
    const json::value policyObject = substituteParameters(*policyTemplate, values, path + ".policy", errors);
    WorkspacePolicy policy = readPolicy(policyObject.as_object(), path + ".policy", errors);
    policy.workspace = workspace;
    policy.apiKeyHashes = keys;
    if (keys.empty()) {
        errors.push_back(path + ".key_sha256: at least one key is required");
    }
    return policy;
}

std::string joinErrors(const std::vector<std::string> &errors)
{
    std::string out;
    for (const std::string &error : errors) {
        out += (out.empty() ? "" : "; ") + error;
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
        return core::makeError(core::ErrorKind::ConfigInvalid, "a document requires the non-empty strings \"kind\" and \"id\"");
    }
    if (std::find(Kinds.begin(), Kinds.end(), std::string_view(kind->as_string())) == Kinds.end()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, "kind: found " + json::serialize(*kind) + ", expected template, workspace or upstream");
    }
    return DocumentKey{std::string(kind->as_string()), std::string(id->as_string())};
}

core::Result<WorkspacePolicy> resolvePolicy(const DocumentSet &documents, const core::WorkspaceId &workspace)
{
    std::vector<std::string> errors;
    WorkspacePolicy policy = resolveCollectingErrors(documents, workspace, errors);
    if (!errors.empty()) {
        return core::makeError(core::ErrorKind::ConfigInvalid, joinErrors(errors));
    }
    return policy;
}

std::vector<std::string> validate(const DocumentSet &documents)
{
    std::vector<std::string> errors;
    for (const core::WorkspaceId &workspace : listWorkspaces(documents)) {
        resolveCollectingErrors(documents, workspace, errors);
    }
    for (const auto &[key, document] : documents) {
        if (key.kind != "upstream") {
            continue;
        }
        FieldReader reader(document, "upstream/" + key.id, errors);
        reader.string("kind", "");
        reader.string("id", "");
        reader.boolean("checks_fencing", false);
        reader.rejectUnknownFields();
    }
    return errors;
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
