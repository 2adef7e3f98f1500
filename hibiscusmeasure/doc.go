// Package hibiscusmeasure measures the decisions of the dispatcher under load.
//
// It runs the production decisions (Dispatcher and SlotManager) in virtual time, with fakes only for endpoints, links and
// callers, and compares them with a baseline under the same demand. The same seed gives the same figures.
package hibiscusmeasure
