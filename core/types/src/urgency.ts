/** Priority level of a class. Patient work yields to normal work, and normal work to urgent work. */
export type Urgency = "urgent" | "normal" | "patient";
