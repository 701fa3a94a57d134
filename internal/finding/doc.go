// Package finding collects validation errors with the field that each one is
// about, so that an operator sees all of them at once and not only the first.
package finding
