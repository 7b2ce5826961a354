import type { ReportTrust } from "./report-trust.js";

const WINDOW_SAMPLES = 200;
// With fewer samples, the slope is mostly noise.
const MIN_SAMPLES = 30;
// With accurate reports, each request ahead adds up to half a service time. Reports older than a service time predict
// nothing, and the slope is near 0.
const SLOPE_WITHOUT_TRUST = 0.05;
const SLOPE_WITH_FULL_TRUST = 0.25;
const MAX_LOAD = 6;
const MAX_LATENCY = 5;

/** Degree of trust in load reports, from 0, when they predict nothing about latencies, to 1. */
export const reportTrusts = {
    initial: { samples: 0, meanLoad: 0, meanLatency: 0, variance: 0, covariance: 0 } satisfies ReportTrust,

    /** Adds an attempt: the load predicted when it started, and its latency relative to the server's average. */
    add: (trust: ReportTrust, sample: { readonly load: number; readonly latency: number; }): ReportTrust => {
        // With one other request at the server, there is still a free slot.
        const load = Math.min(MAX_LOAD, Math.max(0, sample.load - 1));
        const latency = Math.min(MAX_LATENCY, sample.latency);
        const samples = Math.min(WINDOW_SAMPLES, trust.samples + 1);
        const weight = 1 / samples;
        const loadStep = load - trust.meanLoad;
        const latencyStep = latency - trust.meanLatency;
        return {
            samples,
            meanLoad: trust.meanLoad + weight * loadStep,
            meanLatency: trust.meanLatency + weight * latencyStep,
            variance: (1 - weight) * (trust.variance + weight * loadStep * loadStep),
            covariance: (1 - weight) * (trust.covariance + weight * loadStep * latencyStep),
        };
    },

    factor: (trust: ReportTrust): number => {
        if (trust.samples < MIN_SAMPLES || trust.variance === 0) {
            return 1;
        }
        const slope = trust.covariance / trust.variance;
        return Math.min(1, Math.max(0, (slope - SLOPE_WITHOUT_TRUST) / (SLOPE_WITH_FULL_TRUST - SLOPE_WITHOUT_TRUST)));
    },
};
