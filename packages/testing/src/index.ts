/** What the tests of every package share. */
export {describe} from './describe/describe_behaviour.js';
export {ManualClock} from './clock/manual_clock_behaviour.js';
