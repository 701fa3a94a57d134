// Package finding collects validation errors with the place that each is
// about, so that an operator sees all of them at once instead of the first.
package finding
