package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/resource"
)

// fileText is the layout of a submitted file, as far as deployments use it.
type fileText struct {
	Partner  string        `yaml:"partner"`
	Name     string        `yaml:"name"`
	Services []serviceText `yaml:"services"`
	Backends []backendText `yaml:"backends"`
	Routes   []routeText   `yaml:"routes"`
}

type serviceText struct {
	Name       string `yaml:"name"`
	HealthPath string `yaml:"health_path"`
	LoadPath   string `yaml:"load_path"`
}

type backendText struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Address string `yaml:"address"`
	Region  string `yaml:"region"`
	Zone    string `yaml:"zone"`
	Slots   int    `yaml:"slots"`
}

type routeText struct {
	Name          string            `yaml:"name"`
	Match         matchText         `yaml:"match"`
	Split         []destinationText `yaml:"split"`
	Timeout       string            `yaml:"timeout"`
	RetryAttempts int               `yaml:"retry_attempts"`
	Priority      string            `yaml:"priority"`
}

type matchText struct {
	Host       string `yaml:"host"`
	PathPrefix string `yaml:"path_prefix"`
}

type destinationText struct {
	Service string `yaml:"service"`
}

// priorityNames are the names of priorities in files.
var priorityNames = map[resource.Priority]string{
	resource.PriorityLow:    "low",
	resource.PriorityNormal: "normal",
	resource.PriorityHigh:   "high",
}

// FileText writes a deployment's file as an operator would submit it.
func FileText(file *resource.File) ([]byte, error) {
	text := fileText{Partner: string(file.Partner), Name: file.Name}
	for _, service := range file.Services {
		text.Services = append(text.Services, serviceText{
			Name: service.Name, HealthPath: service.HealthPath, LoadPath: service.LoadPath,
		})
	}
	for _, each := range file.Backends {
		text.Backends = append(text.Backends, backendText{
			Name: each.Name, Service: each.Service, Address: each.Address,
			Region: each.Region, Zone: each.Zone, Slots: each.Slots,
		})
	}
	for _, route := range file.Routes {
		text.Routes = append(text.Routes, routeText{
			Name:          strings.ToLower(route.Name),
			Match:         matchText{Host: route.Match.Host, PathPrefix: route.Match.PathPrefix},
			Split:         []destinationText{{Service: route.Split[0].Service.Name}},
			Timeout:       fmt.Sprintf("%ds", int(route.Timeout/time.Second)),
			RetryAttempts: route.RetryAttempts,
			Priority:      priorityNames[route.Priority],
		})
	}
	encoded, err := yaml.Marshal(text)
	return encoded, errors.Trace(err)
}
