// Package configcheck checks a deployment's configuration before it is sent, and compares it with
// the one in force. It knows no wire format: the platform adapter decodes the document.
package configcheck

import (
	"strconv"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Document is a decoded configuration with the place of each entry in the file. Its entries are
// those that the entry processes use, before entries with the same name are merged.
type Document struct {
	Version  int64
	Limits   fleet.ClientLimits
	Routes   []Route
	Services []Service
	Accounts []Account
	Names    Names
	// Findings holds what decoding has found.
	Findings []Finding
	// Rejected is set if the document can't be decoded, and has no entries.
	Rejected bool
}

// Names holds the names of the format's fields, for the paths in findings.
type Names struct {
	Version, Routes, Services, Accounts, Limits                                        string
	Prefix, Timeout, Objective, Attempts, Priority, Resumable, Backends                string
	MaxConns, Models, Keys, Rate, Burst, Cost                                          string
	HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout, Host, Kind, Public, Name, Unit string
}

// Route is a route with its path in the file.
type Route struct {
	fleet.Route
	Path string
	// Attempts is the number of attempts as written; 0 if there is none.
	Attempts int
}

// Service is a service with its path in the file.
type Service struct {
	fleet.Service
	Path string
	// Models holds the names of the models that its engines serve.
	Models []string
}

// Account is an account with its path in the file, and its API keys.
type Account struct {
	fleet.Account
	Path string
	Keys []string
}

// Config returns the configuration as an entry process uses it.
func (d *Document) Config() *fleet.Config {
	routes := make([]fleet.Route, 0, len(d.Routes))
	for i := range d.Routes {
		routes = append(routes, d.Routes[i].Route)
	}
	services := make([]fleet.Service, 0, len(d.Services))
	for i := range d.Services {
		services = append(services, d.Services[i].Service)
	}
	accounts := make([]fleet.Account, 0, len(d.Accounts))
	keys := map[string]string{}
	for i := range d.Accounts {
		accounts = append(accounts, d.Accounts[i].Account)
		for _, key := range d.Accounts[i].Keys {
			keys[key] = d.Accounts[i].Name
		}
	}
	return fleet.NewConfig(d.Version, d.Limits, routes, services, accounts, keys)
}

// indexedConfig returns the configuration with the routes' indexes in place of their names, so that
// a match tells which of them it is.
func (d *Document) indexedConfig() *fleet.Config {
	routes := make([]fleet.Route, 0, len(d.Routes))
	for i := range d.Routes {
		route := d.Routes[i].Route
		route.Name = strconv.Itoa(i)
		routes = append(routes, route)
	}
	return fleet.NewConfig(d.Version, d.Limits, routes, nil, nil, nil)
}

// match returns the route that serves a path on a host, or nil.
func (d *Document) match(config *fleet.Config, host, path string) *Route {
	matched, ok := config.Match(host, path)
	if !ok {
		return nil
	}
	// The names are those that indexedConfig has written.
	index, _ := strconv.Atoi(matched.Name)
	return &d.Routes[index]
}

// firstPath returns the shortest path that a route's prefix matches.
func firstPath(prefix string) string {
	if prefix == "" {
		return "/"
	}
	return prefix
}
