package fleetsim

import (
	"math/rand/v2"
	"testing"

	"bilberryhub/internal/enginemodel"
	"bilberryhub/internal/placement"
)

func (f *Fleet) place(r *Request, engines []int) {
	c := f.Classes[r.Class]
	worth := placement.Worth(r.PromptTokens, r.OutputTokens)
	r.Helpers, r.home = len(engines)-1, f.engines[engines[0]]
	part := r.PromptTokens / float64(len(engines))
	for i, index := range engines {
		w := &work{request: r, engine: f.engines[index], leftMs: enginemodel.ReadMs(f.Spec, r.PromptTokens, part)}
		w.Work = enginemodel.Work{Request: r.id, SentMs: f.now, PromptTokens: r.PromptTokens, PartTokens: part, OutputTokens: r.OutputTokens, Helper: i > 0, PauseMs: c.PauseMs, ObjectiveMs: c.ObjectiveMs, Worth: worth}
		r.works = append(r.works, w)
		r.partsDue++
		w.engine.works = append(w.engine.works, w)
		if !w.engine.running {
			f.startPass(w.engine)
		}
	}
}

func (f *Fleet) backlog(i int) float64 {
	s := 0.0
	for _, w := range f.engines[i].works {
		if !w.done && !w.Writing {
			s += w.leftMs
		}
	}
	return s
}

func TestGang(t *testing.T) {
	for _, shortEngines := range []int{2, 3, 4} {
		for _, homes := range []int{2, 4, 13} {
			for _, lim := range []float64{40, 150, 400} {
				a, b := 0.0, 0.0
				sum := make([]ClassResult, 3)
				for seed := uint64(1); seed <= 6; seed++ {
					f := New(testEngine, testClasses, 16)
					rng := rand.New(rand.NewPCG(seed, 1))
					next := make([]float64, 3)
					for i, c := range f.Classes {
						next[i] = gap(rng, c.PerSecond*longPhase[0].Factors[i])
					}
					var queue []*Request
					for now := 0.0; now < 75_000; now += 5 {
						f.Advance(now)
						for i, c := range f.Classes {
							for next[i] <= now && now < 60_000 {
								f.nextID++
								r := &Request{Class: i, ArrivedMs: next[i], PromptTokens: c.prompt(rng), OutputTokens: c.OutputTokens * (0.4 + 1.2*rng.Float64()), id: f.nextID}
								f.Requests = append(f.Requests, r)
								next[i] += gap(rng, c.PerSecond*longPhase[0].Factors[i])
								if i == 0 {
									best := 0
									for k := 1; k < shortEngines; k++ {
										if len(f.engines[k].writers)*10+int(f.backlog(k)) < len(f.engines[best].writers)*10+int(f.backlog(best)) {
											best = k
										}
									}
									f.place(r, []int{best})
								} else {
									queue = append(queue, r)
								}
							}
						}
						for len(queue) > 0 {
							worst := 0.0
							for k := shortEngines; k < 16; k++ {
								worst = max(worst, f.backlog(k))
							}
							if worst > lim {
								break
							}
							r := queue[0]
							queue = queue[1:]
							home := shortEngines
							for k := shortEngines; k < shortEngines+homes && k < 16; k++ {
								if len(f.engines[k].writers) < len(f.engines[home].writers) {
									home = k
								}
							}
							list := []int{home}
							for k := shortEngines; k < 16; k++ {
								if k != home {
									list = append(list, k)
								}
							}
							f.place(r, list)
						}
					}
					for i, r := range f.Results() {
						sum[i].Name = r.Name
						sum[i].Asked += r.Asked
						sum[i].InTime += r.InTime
						sum[i].LateFirst += r.LateFirst
						sum[i].LongPause += r.LongPause
					}
				}
				for i, r := range sum {
					w := []float64{1.3, 3.9, 26}[i]
					a += w * (float64(r.InTime) + 0.25*float64(r.Asked-r.InTime))
					b += w * float64(r.Asked)
				}
				t.Logf("short %d homes %d lim %.0f TOTAL %.3f  %.3f %.3f %.3f late %.3f %.3f pause %.3f %.3f %.3f", shortEngines, homes, lim, a/b,
					float64(sum[0].InTime)/float64(sum[0].Asked), float64(sum[1].InTime)/float64(sum[1].Asked), float64(sum[2].InTime)/float64(sum[2].Asked),
					float64(sum[1].LateFirst)/float64(sum[1].Asked), float64(sum[2].LateFirst)/float64(sum[2].Asked),
					float64(sum[0].LongPause)/float64(sum[0].Asked), float64(sum[1].LongPause)/float64(sum[1].Asked), float64(sum[2].LongPause)/float64(sum[2].Asked))
			}
		}
	}
}
