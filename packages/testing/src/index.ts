/** What the tests of every package share. */
export {describe} from './describe/describe.js';
export {ManualClock} from './clock/manual_clock.js';
