import type { FleetModel } from "./fleet-model.js";

const STEP_MS = 10;
const STEPS_PER_SECOND = 100;
// Has no common factor with the VM counts in use, so that all VMs get requests and successive ones go to distant VMs.
const VM_STRIDE = 7;

/** Spreads requests evenly over the VMs of a fleet that run. */
export class ModelDemand {
    private readonly model: FleetModel;
    private arrivalsDue = 0;
    private nextVm = 0;

    constructor(model: FleetModel) {
        this.model = model;
    }

    run(durationMs: number, perSecond: number): void {
        const endAtMs = this.model.atMs + durationMs;
        while (this.model.atMs < endAtMs) {
            this.arrivalsDue += perSecond / STEPS_PER_SECOND;
            while (this.arrivalsDue >= 1) {
                this.arrivalsDue -= 1;
                this.arrive();
            }
            this.model.run(STEP_MS);
        }
    }

    private arrive(): void {
        const { live } = this.model;
        this.nextVm = (this.nextVm + VM_STRIDE) % live.length;
        this.model.arrive(live[this.nextVm] ?? "");
    }
}
