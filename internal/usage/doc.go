// Package usage keeps the use of tenants within their caps over all entries, and confirms
// that the keys of an entry's configuration are in force. The leader of the core grants;
// entries ask it. The decisions are in package policy.
package usage
