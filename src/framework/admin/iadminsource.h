#pragma once

namespace clementinesill::schema {
class DaemonReport;
class DecisionList;
class ExplainQuery;
class FlowList;
class FlowQuery;
} // namespace clementinesill::schema

namespace clementinesill::admin {

// What a role tells about itself on the admin endpoint. Called from the endpoint's thread while the role works.
class IAdminSource {
public:
    virtual ~IAdminSource() = default;

    // Fills what the role knows: ready, reason, versions, flows. Daemon, role, zone and uptime are filled in already.
    virtual void report(schema::DaemonReport& report) const = 0;

    virtual schema::FlowList flows(const schema::FlowQuery& query) const = 0;

    // Decisions about a flow or request, oldest first, as far back as the role keeps them.
    virtual schema::DecisionList explain(const schema::ExplainQuery& query) const = 0;
};

} // namespace clementinesill::admin
