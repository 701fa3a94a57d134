// Package load generates load on an entry with seeded, open-loop arrivals and
// checks every response: completions token for token against the stand-ins'
// predicted text, non-repeatable calls against the number of times that the
// plain services executed them.
package load
