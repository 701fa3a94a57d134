// Package load drives an entry with seeded, open-loop arrivals and checks every
// answer: completions token for token against the stand-ins' predicted text,
// non-repeatable calls against the runs that the plain services counted.
package load
