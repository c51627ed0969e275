package operator

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// differences compares a file with its accepted revision, by resource. It is
// refused when the daemon that answered lists no resources of that revision.
func differences(file *resource.File, files []protocol.FileStatus) (message.Differences, error) {
	accepted, found := lo.Find(files, func(status protocol.FileStatus) bool {
		return status.Partner == file.Partner && status.Name == file.Name && !status.Held
	})
	identical := found && accepted.Digest == resource.FileDigest(file)
	if found && !identical && len(accepted.Resources) == 0 {
		return message.Differences{}, newFailure(message.Refusal(result.NotReadyYet, "no resources of the accepted revision are listed"))
	}
	if identical {
		accepted.Resources = ledger.ResourceDigests(file)
	}
	held := map[resource.Key]resource.Digest{}
	for _, one := range accepted.Resources {
		held[resource.Key{Partner: file.Partner, Kind: one.Kind, Name: one.Name}] = one.Digest
	}
	compared := message.Differences{
		Partner: string(file.Partner), Name: file.Name, Revision: accepted.Revision, Identical: identical,
	}
	for _, local := range resource.Encode(file) {
		compared.Differences = append(compared.Differences, difference(local.Key, held[local.Key], local.Digest))
		delete(held, local.Key)
	}
	for key, digest := range held {
		compared.Differences = append(compared.Differences, difference(key, digest, ""))
	}
	slices.SortFunc(compared.Differences, func(a, b message.Difference) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return compared, nil
}

// difference compares two digests; an empty one stands for absence. A secret's
// digests are left out, for short secrets could be guessed from them.
func difference(key resource.Key, held, local resource.Digest) message.Difference {
	compared := message.Difference{Kind: string(key.Kind), Name: key.Name, Change: message.DifferenceChanged}
	switch {
	case held == "":
		compared.Change = message.DifferenceAdded
	case local == "":
		compared.Change = message.DifferenceRemoved
	case held == local:
		compared.Change = message.DifferenceSame
	}
	if key.Kind != resource.KindSecret {
		compared.Held = string(held)
		compared.Local = string(local)
	}
	return compared
}
