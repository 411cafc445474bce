// Package command decides how JSON-RPC 2.0 commands are run: which host may
// start a command, on which backend server, when it may be retried, and which
// answer the caller gets.
//
// State implements the owner side. Requests are divided into buckets, and each
// bucket of a service has two owners. State stores one claim per request and
// starts a non-idempotent command only when no other host can start it too.
// Runner implements the side of the admitting host, which grants the command
// slots of a backend server. Both do no I/O: they take an event and the current
// time and return outcomes. Neither is safe for concurrent use.
//
// The code that uses this package passes the result of each StoreClaim, Run,
// Transfer or QueryCoverage call to ClaimResult, RunResult, TransferResult or
// CoverageResult, also when the call failed. It calls SetConditions and Expire
// several times per second, and SetOwners after each change of a service's
// owners, before it handles requests under the new owners. The handlers of
// command.claim, command.complete, command.transfer and command.coverage are
// Claim, Complete, Transfer and Coverage. The handler of command.run calls
// Runner.Run and waits for the Finish outcome with its call number.
//
// The answer "not run" covers the future as well as the past: a delayed
// duplicate of a request must not run after its caller has received "not run".
// For a non-idempotent command this answer is therefore given only under the
// conditions under which the command may start; in all other cases the answer
// is "outcome unknown".
package command
