package requestpath

import (
	"context"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// UploadFigures are what large uploads cost.
type UploadFigures struct {
	Calls int `json:"calls"`
	// MebibytesEach is the size of one body.
	MebibytesEach      int     `json:"mebibytes_each"`
	MebibytesPerSecond float64 `json:"mebibytes_per_second"`
	// HeapGrowth is the highest growth of the heap of the whole process, with
	// callers and back ends, in MiB.
	HeapGrowth float64 `json:"heap_growth_mebibytes"`
}

// Sizes of the uploads.
const (
	mebibyte      = 1 << 20
	uploadSize    = 64
	uploadCalls   = 8
	uploadWorkers = 4
	heapSample    = 10 * time.Millisecond
)

// measureUploads streams large bodies through the mesh and watches the heap.
func measureUploads(ctx context.Context, options Options, figures *Figures) error {
	options.Progress("uploads")
	started, err := rig.Start(rig.Options{
		Deployment:   options.Deployment,
		Backend:      backend.Config{MeanService: backend.NoService},
		WithoutLinks: true,
		Seed:         options.Seed,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	kind := uploadKind(options)
	kinds := []load.Kind{kind}
	before := heapBytes()
	stop, peak := watchHeap()
	report, err := load.Run(ctx, load.Plan{
		Kinds: kinds, Targets: started.Targets(), Workers: uploadWorkers, Calls: uploadCalls,
		Duration: time.Minute, Prefix: "upload", Seed: options.Seed, Origin: started.Origin,
	})
	stop()
	if err != nil {
		return errors.Trace(err)
	}
	good := load.Count(report.Results, load.All).Good
	figures.Uploads = UploadFigures{
		Calls:              good,
		MebibytesEach:      uploadSize,
		MebibytesPerSecond: float64(good*uploadSize) / report.Elapsed.Seconds(),
		HeapGrowth:         max(0, float64(peak.Load())-float64(before)) / mebibyte,
	}
	figures.Calls += len(report.Results)
	figures.judge(kinds, report.Results, started)
	figures.checkIdle(ctx, started)
	return nil
}

// uploadKind is the deployment's upload with a large body.
func uploadKind(options Options) load.Kind {
	kind := options.Deployment.Calls[0].Kind
	for _, call := range options.Deployment.Calls {
		if call.Method == http.MethodPost && call.BodyBytes > kind.BodyBytes {
			kind = call.Kind
		}
	}
	kind.BodyBytes = uploadSize * mebibyte
	return kind
}

// heapBytes is the heap in use after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// watchHeap keeps the highest heap in use until it is stopped.
func watchHeap() (stop func(), peak *atomic.Uint64) {
	peak = &atomic.Uint64{}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(heapSample)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak.Store(max(peak.Load(), stats.HeapInuse))
			case <-done:
				return
			}
		}
	}()
	return func() { close(done); <-ended }, peak
}
