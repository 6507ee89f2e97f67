"""Predicted time to the first event of a request at a model engine."""

from sitebuilders import make_profile

from bamboolever.calls.engine import EngineLoad, pass_duration_s, predict_first_event_s


def test_idle_engine_prefills_the_prompt_and_runs_one_pass():
    profile = make_profile()
    predicted = predict_first_event_s(profile, EngineLoad(), 1000)
    assert 1000 / 31900 < predicted < 0.1


def test_waiting_prompts_delay_the_first_event():
    profile = make_profile()
    alone = predict_first_event_s(profile, EngineLoad(), 1000)
    behind = predict_first_event_s(profile, EngineLoad(0, 3, 6000), 1000)
    assert behind - alone > 6000 / 31900


def test_each_chunk_waits_for_the_decode_steps_of_running_requests():
    profile = make_profile()
    load = EngineLoad(writing=8, waiting=2, waiting_tokens=4096)
    predicted = predict_first_event_s(profile, load, 1000)
    assert predicted > 3 * pass_duration_s(profile, 11)


def test_prediction_is_proportional_to_the_slowdown():
    profile = make_profile()
    fast = predict_first_event_s(profile, EngineLoad(), 1000)
    slow = predict_first_event_s(profile, EngineLoad(slowdown=3.0), 1000)
    assert slow == 3 * fast
