// Package control is the control duty and its client. The duty holds a member
// of the quorum log and answers for the fleet's replicated state: the accepted
// configuration, once-records, fencing numbers and budgets. The client finds the
// leader among the members and resends commands, each of which carries an
// identifier.
package control
