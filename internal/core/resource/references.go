package resource

import (
	"fmt"
	"slices"

	"github.com/springstack/springstack/internal/result"
)

// MissingReference is a reference that a set of files does not satisfy.
type MissingReference struct {
	// File declares the resource From, which needs To.
	File FileKey
	From Key
	To   Key
	// NotExported is set when To exists but its owner does not export it to
	// the partner of From.
	NotExported bool
}

// String says in one line what is missing.
func (m MissingReference) String() string {
	if m.NotExported {
		return fmt.Sprintf("%s needs %s, which is not exported to %s", m.From, m.To, m.From.Partner)
	}
	return fmt.Sprintf("%s needs %s", m.From, m.To)
}

// index finds the targets of references over a set of files.
type index struct {
	services map[ServiceRef]Service
	secrets  map[Key]bool
}

func newIndex(files []*File) index {
	built := index{services: map[ServiceRef]Service{}, secrets: map[Key]bool{}}
	for _, file := range files {
		for _, service := range file.Services {
			built.services[ServiceRef{Partner: service.Partner, Name: service.Name}] = service
		}
		for _, secret := range file.Secrets {
			built.secrets[secret.Key()] = true
		}
	}
	return built
}

// Missing returns every reference in files that the files together do not
// satisfy, in the order of the files: a route's services must exist and be
// exported to its partner, its secret must be the partner's own, and a back
// end's service must be the partner's own.
func Missing(files []*File) []MissingReference {
	targets := newIndex(files)
	var missing []MissingReference
	for _, file := range files {
		missing = append(missing, targets.missingOf(file)...)
	}
	return missing
}

func (x index) missingOf(file *File) []MissingReference {
	var missing []MissingReference
	for _, backend := range file.Backends {
		if _, found := x.services[backend.ServiceRef()]; !found {
			missing = append(missing, MissingReference{File: file.Key(), From: backend.Key(), To: backend.ServiceRef().Key()})
		}
	}
	for _, route := range file.Routes {
		missing = append(missing, x.missingOfRoute(file.Key(), route)...)
	}
	return missing
}

func (x index) missingOfRoute(file FileKey, route Route) []MissingReference {
	var missing []MissingReference
	for _, destination := range route.Split {
		service, found := x.services[destination.Service]
		if !found || !service.UsableBy(route.Partner) {
			missing = append(missing, MissingReference{
				File: file, From: route.Key(), To: destination.Service.Key(), NotExported: found,
			})
		}
	}
	if route.Secret == nil {
		return missing
	}
	secret := Key{Partner: route.Partner, Kind: KindSecret, Name: route.Secret.Name}
	if !x.secrets[secret] {
		missing = append(missing, MissingReference{File: file, From: route.Key(), To: secret})
	}
	return missing
}

// UsableBy reports whether routes of the partner may lead to the service.
func (s Service) UsableBy(partner Partner) bool {
	return s.Partner == partner || slices.Contains(s.ExportTo, partner)
}

// NameTaken returns an error for each name of candidate that one of the other
// files of its partner declares as well.
func NameTaken(candidate *File, others []*File) []result.Error {
	owners := map[Key]string{}
	for _, other := range others {
		if other.Partner != candidate.Partner || other.Name == candidate.Name {
			continue
		}
		for _, key := range other.Keys() {
			owners[key] = other.Name
		}
	}
	var taken []result.Error
	for _, key := range candidate.Keys() {
		owner, found := owners[key]
		if !found {
			continue
		}
		problem := result.New(result.NameTaken, "%s is declared by file %s", key, owner)
		problem.File = candidate.Name
		problem.Mend = "Rename it or withdraw the other file."
		taken = append(taken, *problem)
	}
	return taken
}

// Keys returns the keys of all resources of the file.
func (f *File) Keys() []Key {
	keys := make([]Key, 0, len(f.Services)+len(f.Backends)+len(f.Secrets)+len(f.Routes))
	for _, service := range f.Services {
		keys = append(keys, service.Key())
	}
	for _, backend := range f.Backends {
		keys = append(keys, backend.Key())
	}
	for _, secret := range f.Secrets {
		keys = append(keys, secret.Key())
	}
	for _, route := range f.Routes {
		keys = append(keys, route.Key())
	}
	return keys
}
