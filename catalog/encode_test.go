package catalog

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

// wideConfig returns a configuration with n routes.
func wideConfig(epoch model.Epoch, n int) *Config {
	c := &Config{Epoch: epoch}
	for i := range n {
		name := model.RouteName(fmt.Sprintf("r-wide-%d-%d", i, i*7919%1000))
		c.Routes = append(c.Routes, Route{
			Name: name, Host: fmt.Sprintf("h%d.example", i%97), Prefix: fmt.Sprintf("/p%d/%d/", i, i*104729%9973),
			Services: []WeightedService{{Service: "registry", Weight: 1}}, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Priority: 2,
		})
	}
	return c
}

// Guards against a damaged or truncated body that is used in part, wherever it is cut or
// changed, and against a body that a daemon of an older version sends being refused.
func TestDamagedContentIsRefused(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	cache := NewCache(nil)
	cache.putConfig(wideConfig(4, 60), 9, now)
	cache.putServers(map[string]*Server{"i-1": {ID: "i-1", Service: "s"}}, 8, 8, now)
	var encoder Encoder
	data, err := encoder.Encode(cache.Snapshot(now, Versions{}))
	g.Expect(err).NotTo(HaveOccurred())
	s, err := Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Config).To(Equal(cache.View().Config))
	g.Expect(s.Servers).To(HaveKey("i-1"))
	for i := range data {
		_, err := Decode(data[:i])
		g.Expect(errors.Is(err, ErrDamaged)).To(BeTrue(), "cut after %d of %d bytes", i, len(data))
		changed := append([]byte(nil), data...)
		changed[i] ^= 0x10
		if s, err := Decode(changed); err == nil { // the header of a member has no checksum
			g.Expect(s.Config).To(Equal(cache.View().Config), "byte %d", i)
		}
	}
	old, err := Decode([]byte(`{"config":{"epoch":3},"epoch":3,"servers":null,"revision":0}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.Config.Epoch).To(Equal(model.Epoch(3)))
}

func BenchmarkEncodeWide(b *testing.B) {
	cache := NewCache(nil)
	cache.putConfig(wideConfig(4, 4440), 9, time.Now())
	for b.Loop() {
		var encoder Encoder
		data, err := encoder.Encode(cache.Snapshot(time.Now(), Versions{}))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkDecodeWide(b *testing.B) {
	cache := NewCache(nil)
	cache.putConfig(wideConfig(4, 4440), 9, time.Now())
	var encoder Encoder
	data, err := encoder.Encode(cache.Snapshot(time.Now(), Versions{}))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMergeDifference(b *testing.B) {
	cache, peer := NewCache(nil), NewCache(nil)
	now := time.Now()
	peer.putConfig(wideConfig(1, 4440), 9, now)
	cache.Merge(now, peer.Snapshot(now, Versions{}))
	epoch := model.Epoch(1)
	for b.Loop() {
		b.StopTimer()
		epoch++
		next := wideConfig(epoch, 4440)
		next.Routes[7].Priority = int(epoch)
		peer.putConfig(next, 9, now)
		s := peer.Snapshot(now, cache.Versions())
		b.StartTimer()
		if s.ConfigSince == 0 || !cache.Merge(now, s) {
			b.Fatal("no difference")
		}
	}
}
