// Package timeline records what the processes of the system do as events that
// can be merged into one order: a hybrid logical clock, a bounded ring of
// recent events, and the merge of several rings or files.
package timeline
