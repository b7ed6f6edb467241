// Package control implements the control duty and its client. The duty runs a
// member of the replicated log and serves the fleet's replicated state: the
// accepted configuration, once-records, fencing numbers and budgets. The client
// finds the leader among the members and resends commands, which is safe because
// each carries an identifier.
package control
