// Package quotas compares ways to limit the calls of tenants over all daemons of a mesh, on the same
// drawn days in virtual time. It needs no network: the leases are those of core/quota, and messages
// take no time.
package quotas
