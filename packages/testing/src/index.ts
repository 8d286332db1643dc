/** Test utilities that the specs of every package use. */
export {describe} from './describe/describe.js';
export {ManualClock} from './clock/manual_clock.js';
export {InterruptedServer} from './connection/interrupted_server.js';
export {OddJsonTexts} from './odd_values/odd_json_texts.js';
export {createSeededRandom} from './random/seeded_random.js';
