/**
 * Prints docs/OUTCOMES.md: `npm run outcomes > docs/OUTCOMES.md`.
 */

import { outcomesPage } from "./outcomesPage.js";

process.stdout.write(await outcomesPage());
