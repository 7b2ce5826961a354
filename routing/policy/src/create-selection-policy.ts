import { LeastOutstanding } from "./least-outstanding.js";
import { PowerOfTwoChoices } from "./power-of-two-choices.js";
import { Random } from "./random.js";
import { RoundRobin } from "./round-robin.js";
import type { SelectionPolicyName } from "./selection-policy-name.js";
import type { SelectionPolicy } from "./selection-policy.js";
import { SlotAware } from "./slot-aware.js";

const constructors: Readonly<Record<SelectionPolicyName, new() => SelectionPolicy>> = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
    "power-of-two-choices": PowerOfTwoChoices,
    "slot-aware": SlotAware,
};

export const createSelectionPolicy = (name: SelectionPolicyName): SelectionPolicy => new constructors[name]();
