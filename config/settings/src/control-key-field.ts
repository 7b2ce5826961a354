import { field } from "@marigoldstall/config.schema";

const MIN_CHARACTERS = 32;
const MAX_CHARACTERS = 1024;

/** Schema of the shared key that authenticates calls to the control port. */
export const controlKeyField = field.text({
    expected: `a text of ${MIN_CHARACTERS} to ${MAX_CHARACTERS} characters, the same on all VMs`,
    accepts: value => value.length >= MIN_CHARACTERS && value.length <= MAX_CHARACTERS,
});
