/**
 * The version of this build.
 */

export const version = "0.1.0";
