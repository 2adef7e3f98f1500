// Package hibiscusmeasure measures the decisions of the dispatcher under load.
//
// It runs the production code of the decisions (Dispatcher and SlotManager) in virtual time, with fakes only for endpoints, links
// and callers, and compares it with baselines under the same demand. The same seed gives the same figures.
package hibiscusmeasure
