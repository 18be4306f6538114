#pragma once

namespace clementinesill::schema {
class DaemonReport;
class DecisionList;
class ExplainQuery;
class FlowList;
class FlowQuery;
class PlacementList;
class PlacementQuery;
} // namespace clementinesill::schema

namespace clementinesill::admin {

// Supplies the state of a role to the admin endpoint. Called on the endpoint's thread while the role runs.
class IAdminSource {
public:
    virtual ~IAdminSource() = default;

    // Sets the fields that depend on the role: ready, reason, versions, flows. Daemon, role, zone and uptime are already
    // set.
    virtual void report(schema::DaemonReport& report) const = 0;

    // Returns the flows that match the query.
    virtual schema::FlowList flows(const schema::FlowQuery& query) const = 0;

    // Returns the decisions about a flow or request that the role still keeps, oldest first.
    virtual schema::DecisionList explain(const schema::ExplainQuery& query) const = 0;

    // Adds where the role would send a new flow of the route in the query now. A role that places no flows adds nothing.
    virtual void explainPlacement(const schema::PlacementQuery& /*query*/, schema::PlacementList& /*list*/) const { }
};

} // namespace clementinesill::admin
