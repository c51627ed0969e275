package resource

import (
	"fmt"
	"iter"
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/result"
)

// Reference is a reference from one resource to another. MissingReferences returns those that are
// not satisfied within a set of files.
type Reference struct {
	// File is the file that declares the resource From, which refers to To.
	File FileKey
	From Key
	To   Key
	// NotExported is true if To exists but is not exported to the partner of From.
	NotExported bool
}

// String describes an unsatisfied reference in one line.
func (r Reference) String() string {
	if r.NotExported {
		return fmt.Sprintf("%s needs %s, which is not exported to %s", r.From, r.To, r.From.Partner)
	}
	return fmt.Sprintf("%s needs %s", r.From, r.To)
}

// MissingReferences returns all references in files that are not satisfied by the
// same files, in the order of the files. All services and secrets that are referred to
// must exist. A route may refer to services of its own partner and to those exported to
// it; back ends and the secrets of routes refer to resources of their own partner.
func MissingReferences(files []*File) []Reference {
	return MissingReferencesAfter(files, files, nil)
}

// MissingReferencesAfter returns the unsatisfied references in files after a change
// to a set in which all references were satisfied. Added files are among files,
// removed files are not. It checks only the references of added files and the
// references of other files to resources that removed files declared, so apart from
// one pass over all resources its cost depends on the size of the change.
func MissingReferencesAfter(files, added, removed []*File) []Reference {
	index := newTargetIndex(files, affectedTargets(added, removed))
	changed := index.changedTargets(removed)
	addedSet := lo.Keyify(added)
	var missing []Reference
	for _, file := range files {
		_, isAdded := addedSet[file]
		if !isAdded && len(changed) == 0 {
			continue
		}
		for reference := range file.references() {
			if !isAdded && !changed[reference.To] {
				continue
			}
			if checked, unsatisfied := index.check(reference); unsatisfied {
				missing = append(missing, checked)
			}
		}
	}
	return missing
}

// references yields all references of the file. NotExported is not determined yet;
// targetIndex.check does that.
func (f *File) references() iter.Seq[Reference] {
	return func(yield func(Reference) bool) {
		for i := range f.Backends {
			backend := &f.Backends[i]
			if !yield(Reference{File: f.Key(), From: backend.Key(), To: backend.ServiceRef().Key()}) {
				return
			}
		}
		for i := range f.Routes {
			for _, target := range f.Routes[i].referencedKeys() {
				if !yield(Reference{File: f.Key(), From: f.Routes[i].Key(), To: target}) {
					return
				}
			}
		}
	}
}

// referencedKeys returns the keys of the services and the secret that a route refers to.
func (r *Route) referencedKeys() []Key {
	keys := make([]Key, 0, len(r.Split)+1)
	for _, destination := range r.Split {
		keys = append(keys, destination.Service.Key())
	}
	if r.Secret != nil {
		keys = append(keys, Key{Partner: r.Partner, Kind: KindSecret, Name: r.Secret.Name})
	}
	return keys
}

// targetIndex looks up targets of references in a set of files. It contains only the
// targets that newTargetIndex was called with.
type targetIndex struct {
	services map[Key]*Service
	secrets  map[Key]bool
}

// affectedTargets returns the keys that added files refer to and removed files declared.
func affectedTargets(added, removed []*File) map[Key]bool {
	targets := map[Key]bool{}
	for _, file := range added {
		for reference := range file.references() {
			targets[reference.To] = true
		}
	}
	for _, file := range removed {
		for key := range file.keys() {
			targets[key] = true
		}
	}
	return targets
}

func newTargetIndex(files []*File, targets map[Key]bool) targetIndex {
	index := targetIndex{services: map[Key]*Service{}, secrets: map[Key]bool{}}
	for _, file := range files {
		for i := range file.Services {
			if key := file.Services[i].Key(); targets[key] {
				index.services[key] = &file.Services[i]
			}
		}
		for i := range file.Secrets {
			if key := file.Secrets[i].Key(); targets[key] {
				index.secrets[key] = true
			}
		}
	}
	return index
}

// changedTargets returns the keys of the services and secrets of removed files that no
// longer exist, and of the services whose exports have changed.
func (x targetIndex) changedTargets(removed []*File) map[Key]bool {
	changed := map[Key]bool{}
	for _, file := range removed {
		for _, service := range file.Services {
			current, found := x.services[service.Key()]
			if !found || !slices.Equal(current.ExportTo, service.ExportTo) {
				changed[service.Key()] = true
			}
		}
		for _, secret := range file.Secrets {
			if !x.secrets[secret.Key()] {
				changed[secret.Key()] = true
			}
		}
	}
	return changed
}

// check returns the reference with NotExported filled in, and reports whether it
// is unsatisfied.
func (x targetIndex) check(reference Reference) (Reference, bool) {
	if reference.To.Kind == KindSecret {
		return reference, !x.secrets[reference.To]
	}
	service, found := x.services[reference.To]
	if !found {
		return reference, true
	}
	reference.NotExported = !service.UsableBy(reference.From.Partner)
	return reference, reference.NotExported
}

// UsableBy reports whether routes of the partner may refer to the service.
func (s Service) UsableBy(partner Partner) bool {
	return s.Partner == partner || slices.Contains(s.ExportTo, partner)
}

// NameConflicts returns an error for each resource of candidate whose name another
// file of the same partner declares too.
func NameConflicts(candidate *File, others []*File) []result.Error {
	declared := map[Key]bool{}
	for key := range candidate.keys() {
		declared[key] = true
	}
	var conflicts []result.Error
	for _, other := range others {
		if other.Partner != candidate.Partner || other.Name == candidate.Name {
			continue
		}
		for key := range other.keys() {
			if !declared[key] {
				continue
			}
			problem := result.New(result.NameTaken, "%s is declared by file %s", key, other.Name)
			problem.File = candidate.Name
			problem.Mend = "Rename it or withdraw the other file."
			conflicts = append(conflicts, *problem)
		}
	}
	return conflicts
}

// Keys returns the keys of all resources of the file.
func (f *File) Keys() []Key { return slices.Collect(f.keys()) }

func (f *File) keys() iter.Seq[Key] {
	return func(yield func(Key) bool) {
		done := !yieldKeys(f.Services, yield) || !yieldKeys(f.Backends, yield) || !yieldKeys(f.Secrets, yield)
		if !done {
			yieldKeys(f.Routes, yield)
		}
	}
}

func yieldKeys[T Resource](list []T, yield func(Key) bool) bool {
	for i := range list {
		if !yield(list[i].Key()) {
			return false
		}
	}
	return true
}
