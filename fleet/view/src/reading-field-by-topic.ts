/** Field of the view state that holds the read progress of a topic. */
export const READING_FIELD_BY_TOPIC = {
    registrations: "registrationReading",
    configuration: "configurationReading",
} as const;
