// Package quarantine decides which requests are kept from the back ends of a mesh because
// they end each back end that runs them (a query of death). It does no input or output and
// reads no clock.
package quarantine
